package lilaclever.journal;

import java.util.function.LongSupplier;

/**
 * The clocks of one life, microseconds: one that only goes forward, the wall clock as the core keeps it (it does not
 * jump within a life), and the machine's own.
 */
public record JournalClocks(LongSupplier monotonicMicros, LongSupplier wallMicros, BootClock bootClock) {}
