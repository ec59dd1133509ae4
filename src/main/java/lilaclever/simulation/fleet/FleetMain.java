package lilaclever.simulation.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Command line of the fleet simulation in virtual time; writes a table of results for each run. */
public final class FleetMain {
    private static final int USAGE_ERROR = 2;
    private static final int BREACHES_FOUND = 1;

    @Argument(
            usage = "runs, each as SCHEDULE/FORWARDERS/SEED; schedules are incidents, ordinary, restart-pace and short",
            metaVar = "RUN")
    private List<String> runs = new ArrayList<>();

    @Option(name = "--threads", usage = "number of concurrent runs")
    private int threads = 1;

    @Option(name = "--load-bound", usage = "bound on the ratio of a forwarder's shards to its share")
    private double loadBound = FleetSettings.LOAD_BOUND;

    @Option(name = "--reassignments", usage = "shards of a region reassigned per second at most")
    private int reassignments = FleetSettings.REASSIGNMENTS_PER_SECOND;

    @Option(name = "--memory", usage = "measure the heap of lease holders, maps and a controller instead")
    private boolean memory;

    @Option(name = "--out", usage = "folder for the tables", metaVar = "FOLDER")
    private Path folder = Path.of("docs/scale/fleet");

    private FleetMain() {}

    /** Exit code 0 if no rule was broken, 1 if one was or a run failed, 2 if the command line is wrong. */
    public static void main(String[] arguments) throws InterruptedException {
        FleetMain main = new FleetMain();
        CmdLineParser parser = new CmdLineParser(main);
        List<FleetRun> runs = new ArrayList<>();
        try {
            parser.parseArgument(arguments);
            main.runs.forEach(run -> runs.add(FleetRun.parse(run)));
        } catch (CmdLineException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_ERROR);
        }
        if (main.memory) {
            new ControlMemory(FleetSettings.ofSize(1, FleetSettings.FULL_FORWARDERS)).print(System.out);
            return;
        }
        System.exit(main.simulateAll(runs) ? 0 : BREACHES_FOUND);
    }

    private boolean simulateAll(List<FleetRun> requestedRuns) throws InterruptedException {
        ExecutorService executor = Executors.newFixedThreadPool(threads);
        List<Future<Boolean>> results = new ArrayList<>();
        requestedRuns.forEach(run -> results.add(executor.submit(() -> simulate(run))));
        executor.shutdown();
        boolean passed = true;
        for (Future<Boolean> result : results) {
            try {
                passed &= result.get();
            } catch (ExecutionException e) {
                e.printStackTrace();
                passed = false;
            }
        }
        return passed;
    }

    private boolean simulate(FleetRun run) throws IOException {
        long startNanos = System.nanoTime();
        FleetSettings settings = FleetSettings.ofSize(run.seed(), run.forwarders())
                .withLoadBound(loadBound)
                .withReassignmentsPerSecond(reassignments);
        FleetFigures figures = new FleetSimulation(settings, run.schedule())
                .run(phase -> System.err.println(run.fileName() + "\t" + phase.row()));
        double realSeconds = (System.nanoTime() - startNanos) / 1e9;
        Path file = folder.resolve(run.fileName());
        Files.createDirectories(folder);
        try (PrintStream out = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.UTF_8)) {
            write(figures, realSeconds, out);
        }
        System.out.println(file + ": " + figures.breaches().size() + " breaches in " + figures.checks() + " checks, "
                + Math.round(realSeconds) + " s");
        return figures.breaches().isEmpty();
    }

    private static void write(FleetFigures figures, double realSeconds, PrintStream out) {
        out.println("# " + figures.schedule() + " " + figures.settings());
        out.println(PhaseFigures.HEADER);
        figures.phases().forEach(phase -> out.println(phase.row()));
        out.println();
        out.println("figure\tvalue");
        out.println("breaches\t" + figures.breaches().size());
        out.println("checks\t" + figures.checks());
        writeFigures(figures.deterministic(), out);
        out.println();
        out.println("measured on the machine\tvalue");
        writeFigures(figures.measured(), out);
        out.printf("real_seconds\t%.1f%n", realSeconds);
        figures.breaches().forEach(breach -> out.println("breach\t" + breach));
    }

    private static void writeFigures(List<FleetFigures.Figure> figures, PrintStream out) {
        figures.forEach(figure -> out.printf("%s\t%.6g%n", figure.name(), figure.value()));
    }
}
