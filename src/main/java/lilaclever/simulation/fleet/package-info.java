/**
 * Simulation in virtual time of how the fleet owns destinations: the real controllers and lease holders of all regions,
 * with a simulated network, clocks and failures, and a checker that verifies every step. A run is determined by its
 * seed.
 */
package lilaclever.simulation.fleet;
