/**
 * Ownership of destinations by lease: destinations are hashed to shards, a controller assigns the shards of a region to
 * its forwarders, and a forwarder sends for a destination only while it holds the lease on that destination's shard.
 * All choices are made without I/O: commands and clock readings go in, typed events come out.
 */
package lilaclever.placement;
