package lilaclever.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Plays seeded runs of the real program under faults: {@code SEED COUNT [SECONDS]}; {@code bench/soak} starts it. The
 * variables are {@code SOAK_BUILD}, {@code SOAK_AT_ONCE} and {@code SOAK_FAULTS}.
 */
final class SoakMain {
    private static final int DEFAULT_SECONDS = 30, MIN_SECONDS = 12, MAX_SECONDS = 3_600;
    private static final int MAX_RUNS = 10_000;
    /** A run has up to six forwarders; more at once would exceed a few hundred processes or the cores. */
    private static final int MAX_AT_ONCE = 8;

    private static final int MAX_VIOLATIONS_PRINTED = 10;

    private SoakMain() {}

    /** Arguments as checked. */
    record Arguments(long firstSeed, int count, int seconds, Path build, int runsAtOnce, SoakPlan.Faults faults) {}

    public static void main(String[] args) throws Exception {
        Arguments arguments;
        try {
            arguments = parse(args, System.getenv());
            requireJar(arguments.build());
        } catch (IllegalArgumentException e) {
            System.err.println("soak: " + e.getMessage());
            System.exit(2);
            return;
        }
        System.exit(playAll(arguments) ? 0 : 1);
    }

    static Arguments parse(String[] args, Map<String, String> variables) {
        if (args.length < 2 || args.length > 3) {
            throw new IllegalArgumentException("SEED COUNT [SECONDS]: " + args.length + " arguments were given");
        }
        return new Arguments(
                number("SEED", args[0], 0, Long.MAX_VALUE),
                (int) number("COUNT", args[1], 1, MAX_RUNS),
                args.length < 3 ? DEFAULT_SECONDS : (int) number("SECONDS", args[2], MIN_SECONDS, MAX_SECONDS),
                Path.of(variables.getOrDefault("SOAK_BUILD", ".")).toAbsolutePath(),
                (int) number("SOAK_AT_ONCE", variables.getOrDefault("SOAK_AT_ONCE", "1"), 1, MAX_AT_ONCE),
                faults(variables.getOrDefault("SOAK_FAULTS", "drawn")));
    }

    private static SoakPlan.Faults faults(String text) {
        return switch (text) {
            case "drawn" -> SoakPlan.Faults.DRAWN;
            case "none" -> SoakPlan.Faults.NONE;
            case "failing-calls" -> SoakPlan.Faults.FAILING_CALLS;
            default ->
                throw new IllegalArgumentException("SOAK_FAULTS: neither drawn, none nor failing-calls: " + text);
        };
    }

    private static void requireJar(Path build) {
        if (!Files.exists(build.resolve("target/lilaclever.jar"))) {
            throw new IllegalArgumentException("SOAK_BUILD: no target/lilaclever.jar in " + build);
        }
    }

    private static long number(String name, String text, long least, long most) {
        try {
            long value = Long.parseLong(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + ": not a whole number: " + text, e);
        }
        throw new IllegalArgumentException(name + ": not from " + least + " to " + most + ": " + text);
    }

    private static boolean playAll(Arguments arguments) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(arguments.runsAtOnce());
        List<Future<Boolean>> kept = new ArrayList<>();
        for (int i = 0; i < arguments.count(); i++) {
            long seed = arguments.firstSeed() + i;
            kept.add(executor.submit(() -> play(arguments, seed)));
        }
        boolean allKept = true;
        for (Future<Boolean> each : kept) {
            allKept &= each.get();
        }
        executor.shutdown();
        return allKept;
    }

    private static boolean play(Arguments arguments, long seed) throws Exception {
        SoakPlan plan = SoakPlan.draw(seed, arguments.seconds(), arguments.faults());
        Path folder = Files.createTempDirectory("soak-" + seed + "-");
        try (SoakRun run = new SoakRun(plan, arguments.build(), folder)) {
            SoakRun.Result result = run.play();
            print(result, folder);
            return result.violations().isEmpty();
        }
    }

    private static synchronized void print(SoakRun.Result result, Path folder) {
        System.out.println(result);
        result.violations().stream().limit(MAX_VIOLATIONS_PRINTED).forEach(each -> System.out.println("    " + each));
        if (!result.violations().isEmpty()) {
            System.out.println("    record: " + folder.resolve("record.txt"));
        }
    }
}
