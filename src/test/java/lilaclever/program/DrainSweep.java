package lilaclever.program;

import java.nio.file.Files;
import lilaclever.program.DrainSchedule.Fault;

/**
 * Runs schedules of {@link DrainScheduleTest} outside the test suite: {@code DrainSweep FIRST-SEED SEEDS [FAULT...]}.
 * Prints what the auditor found in each, and with {@code -Ddrain.schedule=true} its steps.
 */
final class DrainSweep {
    private DrainSweep() {}

    public static void main(String[] arguments) throws Exception {
        long firstSeed = Long.parseLong(arguments[0]);
        int seedCount = Integer.parseInt(arguments[1]);
        for (Fault fault : Fault.values()) {
            for (long seed = firstSeed; seed < firstSeed + seedCount && isSelected(arguments, fault); seed++) {
                DrainSchedule schedule = new DrainSchedule(fault, seed, Files.createTempDirectory("drain"));
                System.out.println(schedule.run());
                if (Boolean.getBoolean("drain.schedule")) {
                    schedule.log().forEach(line -> System.out.println("        " + line));
                }
            }
        }
        System.exit(0);
    }

    private static boolean isSelected(String[] arguments, Fault fault) {
        for (int i = 2; i < arguments.length; i++) {
            if (arguments[i].equals(fault.name())) {
                return true;
            }
        }
        return arguments.length == 2;
    }
}
