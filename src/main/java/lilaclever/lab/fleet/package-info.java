/**
 * The fleet's ownership of destinations in virtual time: the real controllers and lease holders of all regions, with a
 * simulated network, clocks and failures, and a checker that follows every step. One seed gives the same run.
 */
package lilaclever.lab.fleet;
