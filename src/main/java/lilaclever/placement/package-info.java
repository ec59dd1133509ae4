/**
 * Lease-based ownership of destinations: destinations are hashed to shards, a controller assigns the shards of a region
 * to its forwarders, and a forwarder sends for a destination only while it holds the lease on that destination's shard.
 * The package does no I/O: its input is commands and clock readings, its output typed events.
 */
package lilaclever.placement;
