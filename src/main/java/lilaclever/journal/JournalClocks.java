package lilaclever.journal;

import java.util.function.LongSupplier;

/**
 * The clocks of one process run: a monotonic clock and the core's wall clock (which does not jump within a run), both
 * in microseconds, and the boot clock of the machine.
 */
public record JournalClocks(LongSupplier monotonicMicros, LongSupplier wallMicros, BootClock bootClock) {}
