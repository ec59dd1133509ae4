package lilaclever.lab.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Plays the fleet in virtual time from the command line and writes what it gave as a table. */
public final class FleetMain {
    private static final int USAGE_ERROR = 2;
    private static final int BREACHES_FOUND = 1;

    @Option(name = "--forwarders", usage = "number of forwarders")
    private int forwarders = FleetSettings.FULL_FORWARDERS;
    @Option(name = "--seed", usage = "seed of all random choices")
    private long seed = 1;
    @Option(name = "--schedule", usage = "INCIDENTS, ORDINARY, RESTART_PACE or SHORT")
    private Schedule schedule = Schedule.INCIDENTS;
    @Option(name = "--load-bound", usage = "bound on a forwarder's shards against its share")
    private double loadBound = FleetSettings.LOAD_BOUND;
    @Option(name = "--reassignments", usage = "shards a second of a region that may get another owner")
    private int reassignments = FleetSettings.REASSIGNMENTS_PER_SECOND;
    @Option(name = "--memory", usage = "measure the heap of holders, maps and a controller instead")
    private boolean memory;
    @Option(name = "--out", usage = "folder that the table is written to", metaVar = "FOLDER")
    private Path folder = Path.of("docs/scale/fleet");

    private FleetMain() { }

    /** Exit code 0 if no rule was broken, 1 if one was, 2 if the command line is wrong. */
    public static void main(String[] arguments) {
        FleetMain main = new FleetMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_ERROR);
        }
        if (main.memory) {
            new ControlMemory(FleetSettings.ofSize(main.seed, main.forwarders)).print(System.out);
            return;
        }
        System.exit(main.play() ? 0 : BREACHES_FOUND);
    }

    private boolean play() {
        long begin = System.nanoTime();
        FleetFigures figures = new FleetSimulation(
                FleetSettings.ofSize(seed, forwarders).withLoadBound(loadBound).withReassignmentsPerSecond(reassignments),
                schedule).run(phase -> System.err.println(phase.row()));
        double realSeconds = (System.nanoTime() - begin) / 1e9;
        Path file = folder.resolve(schedule.label() + "-" + forwarders + "-seed" + seed + ".tsv");
        try {
            Files.createDirectories(folder);
            try (PrintStream out = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.UTF_8)) {
                write(figures, realSeconds, out);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
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
