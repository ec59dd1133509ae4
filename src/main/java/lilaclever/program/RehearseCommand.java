package lilaclever.program;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongConsumer;
import lilaclever.conf.ConfigurationException;
import lilaclever.simulation.audit.DeductionRates;
import lilaclever.simulation.model.Traffic;
import lilaclever.simulation.report.Comparison;
import lilaclever.simulation.report.Report;
import lilaclever.simulation.report.Sweep;
import lilaclever.simulation.scenario.Overrides;
import lilaclever.simulation.scenario.Scenario;
import lilaclever.simulation.scenario.ScenarioReader;
import lilaclever.simulation.sockets.SocketRehearsal;
import lilaclever.simulation.virtual.VirtualRehearsal;
import lilaclever.simulation.world.Fault;
import lilaclever.simulation.world.RehearsalResult;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code rehearse list|show|check|run|sweep|compare}: runs scenarios in virtual time or on sockets, and reports. */
public final class RehearseCommand implements Main.Command {
    private static final int EXIT_PASSED = 0, EXIT_RULES_BROKEN = 1, EXIT_UNUSABLE = 2, EXIT_DOUBTFUL = 3;

    /** Names are values of the command-line argument. */
    enum Action {
        LIST,
        SHOW,
        CHECK,
        RUN,
        SWEEP,
        COMPARE
    }

    @Argument(index = 0, required = true, metaVar = "list|show|check|run|sweep|compare", usage = "what to do")
    private Action action;

    @Argument(
            index = 1,
            metaVar = "SCENARIO|FOLDER",
            usage = "a shipped scenario's name or a file; with compare: two folders of runs",
            multiValued = true)
    private List<String> operands = new ArrayList<>();

    @Option(name = "--seed", metaVar = "N", usage = "random seed of the first run (default 1)")
    private long seed = 1;

    @Option(name = "--runs", metaVar = "N", usage = "how many runs, each with the next seed (default 1; sweep: 5)")
    private int runs;

    @Option(name = "--out", metaVar = "FOLDER", usage = "where reports go (default: rehearsals/NAME)")
    private Path outFolder;

    @Option(name = "--load", metaVar = "FROM:TO:STEP", usage = "with sweep: loads in percent (default 40:160:10)")
    private String loadRange = "40:160:10";

    @Option(name = "--aim", metaVar = "N", usage = "with sweep: the lowest acceptable service (default 0.9)")
    private double minService = 0.9;

    @Option(
            name = "--set",
            metaVar = "SECTION.KEY=VALUE",
            usage = "overrides the scenario; with sweep, values separated by commas: " + "one point of the curve each")
    private List<String> overrides = new ArrayList<>();

    @Option(
            name = "--threads",
            metaVar = "N",
            usage = "runs in parallel (default: number of cores; results do not depend on it)")
    private int threads = Runtime.getRuntime().availableProcessors();

    @Option(
            name = "--sockets",
            usage = "with run: in real time, with a process for each forwarder and stand-ins on the loopback")
    private boolean sockets;

    private final Interrupt interrupt = new Interrupt();

    @Override
    public Integer run() throws ConfigurationException {
        try {
            return switch (action) {
                case LIST -> list();
                case SHOW -> show();
                case CHECK -> check();
                case RUN -> runScenario();
                case SWEEP -> sweep();
                case COMPARE -> compare();
            };
        } catch (IOException | ExecutionException e) {
            System.err.println("lilaclever: rehearse: "
                    + (e instanceof IOException ? e.getMessage() : e.getCause().toString()));
            return EXIT_UNUSABLE;
        } catch (InterruptedException e) {
            return EXIT_UNUSABLE;
        }
    }

    private static int list() throws ConfigurationException {
        for (String name : ScenarioReader.SHIPPED) {
            System.out.printf("%-30s %s%n", name, ScenarioReader.read(name).about());
        }
        return EXIT_PASSED;
    }

    private String scenarioName() throws ConfigurationException {
        if (operands.size() != 1) {
            throw new ConfigurationException(
                    "rehearse " + action.name().toLowerCase(Locale.ROOT), "one scenario, not " + operands.size());
        }
        return operands.get(0);
    }

    private int show() throws ConfigurationException, IOException {
        String name = scenarioName();
        System.out.print(
                ScenarioReader.SHIPPED.contains(name) ? ScenarioReader.text(name) : Files.readString(Path.of(name)));
        return EXIT_PASSED;
    }

    private int check() throws ConfigurationException {
        for (String name : operands.isEmpty() ? ScenarioReader.SHIPPED : operands) {
            Scenario s = ScenarioReader.read(name);
            System.out.println(name + " is good: " + s.fleet().forwarders() + " forwarders, "
                    + s.fleet().destinations() + " destinations, " + s.traffic().lengthMicros() / 1_000_000 + " s, "
                    + s.events().size() + " events");
        }
        return EXIT_PASSED;
    }

    private Path outputFolder(Scenario s) {
        return outFolder != null ? outFolder : Path.of("rehearsals", s.name());
    }

    private Scenario scenario() throws ConfigurationException {
        return ScenarioReader.read(scenarioName(), overridesExcept(null));
    }

    /** Returns the overrides of the command line, except one. */
    private List<Overrides.Setting> overridesExcept(String excluded) throws ConfigurationException {
        List<Overrides.Setting> settings = new ArrayList<>();
        for (String s : overrides) {
            if (!s.equals(excluded)) {
                settings.add(Overrides.Setting.of(s));
            }
        }
        return settings;
    }

    private int runScenario() throws ConfigurationException, IOException, InterruptedException, ExecutionException {
        Scenario scenario = scenario();
        String tooLarge = sockets ? SocketRehearsal.sizeProblem(scenario) : null;
        if (tooLarge != null) {
            throw new ConfigurationException(
                    "--sockets", scenario.name() + " is too large for one machine: " + tooLarge + "; run it without");
        }
        int runCount = Math.max(1, runs);
        boolean isSingle = runCount == 1;
        AtomicInteger broken = new AtomicInteger(), doubtful = new AtomicInteger();
        List<Double> services = new ArrayList<>();
        interrupt.handleSignals();
        try {
            runInParallel(
                    runCount,
                    i -> {
                        Path reportFolder = isSingle
                                ? outputFolder(scenario)
                                : outputFolder(scenario).resolve("seed-" + (seed + i));
                        RehearsalResult result = runOnce(scenario, seed + i, reportFolder, isSingle);
                        Report.write(result, reportFolder);
                        return result;
                    },
                    result -> {
                        System.out.print(
                                isSingle
                                        ? Report.summary(result)
                                        : Report.summary(result)
                                                        .lines()
                                                        .findFirst()
                                                        .orElse("") + "\n");
                        broken.addAndGet(result.auditor().breachCounts().isEmpty() ? 0 : 1);
                        if (result.timingQuality() != null
                                && !result.timingQuality().isAcceptable()) {
                            doubtful.incrementAndGet();
                            if (!isSingle) {
                                System.out.println(result.timingQuality().summary());
                            }
                        }
                        services.add(result.auditor().service().figure(DeductionRates.DEFAULT));
                    });
        } finally {
            interrupt.finish();
        }
        double[] interval = Comparison.interval(services);
        if (interval != null) {
            DoubleSummaryStatistics statistics =
                    services.stream().mapToDouble(Double::doubleValue).summaryStatistics();
            System.out.printf(
                    Locale.ROOT,
                    "%d runs: service %.3f (%.3f to %.3f), 95%% of chance %.3f to %.3f; rules broken in %d%n",
                    runCount,
                    statistics.getAverage(),
                    statistics.getMin(),
                    statistics.getMax(),
                    interval[0],
                    interval[1],
                    broken.get());
        }
        System.out.println("report: " + outputFolder(scenario).resolve(isSingle ? "index.html" : ""));
        return interrupt.isRequested()
                ? Interrupt.EXIT_CODE
                : broken.get() > 0 ? EXIT_RULES_BROKEN : doubtful.get() > 0 ? EXIT_DOUBTFUL : EXIT_PASSED;
    }

    private RehearsalResult runOnce(Scenario scenario, long runSeed, Path reportFolder, boolean isSingle)
            throws IOException {
        LongConsumer progressListener = isSingle ? this::progress : now -> {};
        if (!sockets) {
            return VirtualRehearsal.run(scenario, runSeed, Fault.NONE, progressListener, interrupt::isRequested);
        }
        Path forwardersFolder =
                Files.createDirectories(reportFolder.resolve("forwarders")).toAbsolutePath();
        Path runFolder = Files.createTempDirectory(forwardersFolder, "run-");
        try {
            return SocketRehearsal.run(
                    scenario,
                    runSeed,
                    runFolder,
                    ChildProcessCommand.command("serve"),
                    progressListener,
                    interrupt::isRequested);
        } catch (InterruptedException e) {
            throw new InterruptedIOException("cut short");
        }
    }

    private void progress(long nowMicros) {
        if (System.console() != null && nowMicros / 1_000_000 % 10 == 0) {
            System.err.print("\r" + nowMicros / 1_000_000 + " s ");
        }
    }

    /** Runs simulations on several threads and passes their results on in order. */
    private void runInParallel(
            int runCount, Simulation simulation, java.util.function.Consumer<RehearsalResult> consumer)
            throws InterruptedException, ExecutionException {
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, Math.min(runCount, threads)));
        try {
            List<Future<RehearsalResult>> results = new ArrayList<>();
            for (int i = 0; i < runCount; i++) {
                int index = i;
                results.add(pool.submit(() -> simulation.run(index)));
            }
            for (int i = 0; i < runCount; i++) {
                consumer.accept(results.get(i).get());
                results.set(i, null); // a result is large: freed once reported
            }
        } finally {
            pool.shutdownNow();
        }
    }

    private interface Simulation {
        RehearsalResult run(int index) throws IOException;
    }

    /** A point of a sweep: its scenario, its position on the x axis and its label. */
    private record SweepPoint(Scenario scenario, double x, String label) {}

    private int sweep() throws ConfigurationException, IOException, InterruptedException, ExecutionException {
        boolean overLoad = overrides.stream().noneMatch(s -> s.contains(","));
        List<SweepPoint> points = overLoad ? loadPoints() : settingPoints();
        Scenario first = points.get(0).scenario();
        int runCount = runs > 0 ? runs : 5;
        Sweep sweep = new Sweep(
                overLoad
                        ? "load, % of the full load"
                        : sweptOverride().substring(0, sweptOverride().indexOf('=')));
        AtomicInteger allBroken = new AtomicInteger();
        interrupt.handleSignals();
        try {
            for (SweepPoint point : points) {
                List<Double> services = new ArrayList<>();
                AtomicInteger broken = new AtomicInteger();
                runInParallel(
                        runCount,
                        i -> VirtualRehearsal.run(
                                point.scenario(), seed + i, Fault.NONE, now -> {}, interrupt::isRequested),
                        result -> {
                            services.add(result.auditor().service().figure(DeductionRates.DEFAULT));
                            broken.addAndGet(result.auditor().breachCounts().size());
                        });
                if (interrupt.isRequested()) {
                    break; // interrupted runs give no valid point
                }
                allBroken.addAndGet(broken.get());
                System.out.println(sweep.add(point.x(), point.label(), services, broken.get()));
            }
            sweep.write(outputFolder(first), first.name());
        } finally {
            interrupt.finish();
        }
        if (overLoad) {
            System.out.printf(
                    Locale.ROOT,
                    "service stays at %.2f up to a load of %.0f%%%n",
                    minService,
                    sweep.highestLoadMeeting(minService));
        }
        System.out.println("plot: " + outputFolder(first).resolve("sweep.png"));
        return interrupt.isRequested() ? Interrupt.EXIT_CODE : allBroken.get() == 0 ? EXIT_PASSED : EXIT_RULES_BROKEN;
    }

    private List<SweepPoint> loadPoints() throws ConfigurationException {
        if (!loadRange.matches("\\d{1,4}:\\d{1,4}:[1-9]\\d{0,3}")) {
            throw new ConfigurationException("--load", "FROM:TO:STEP in percent, such as 40:160:10, not " + loadRange);
        }
        String[] parts = loadRange.split(":");
        Scenario scenario = scenario();
        List<SweepPoint> points = new ArrayList<>();
        for (int percent = Integer.parseInt(parts[0]);
                percent <= Integer.parseInt(parts[1]);
                percent += Integer.parseInt(parts[2])) {
            points.add(new SweepPoint(atLoad(scenario, percent / 100.0), percent, "load " + percent + "%"));
        }
        if (points.isEmpty()) {
            throw new ConfigurationException("--load", "no load from " + parts[0] + " to " + parts[1]);
        }
        return points;
    }

    private String sweptOverride() {
        return overrides.stream().filter(s -> s.contains(",")).findFirst().orElse("");
    }

    /** Returns a point for each value of the override that has several. */
    private List<SweepPoint> settingPoints() throws ConfigurationException {
        String sweptOverride = sweptOverride();
        if (overrides.stream().filter(s -> s.contains(",")).count() > 1) {
            throw new ConfigurationException("--set", "one setting with several values, not two");
        }
        Overrides.Setting template = Overrides.Setting.of(sweptOverride);
        List<SweepPoint> points = new ArrayList<>();
        for (String value : template.value().split(",")) {
            List<Overrides.Setting> settings = overridesExcept(sweptOverride);
            settings.add(new Overrides.Setting(template.section(), template.key(), value.strip()));
            java.util.regex.Matcher number =
                    java.util.regex.Pattern.compile("[0-9.]+").matcher(value);
            points.add(new SweepPoint(
                    ScenarioReader.read(scenarioName(), settings),
                    number.find() ? Double.parseDouble(number.group()) : points.size(),
                    template.key() + ' ' + value.strip()));
        }
        return points;
    }

    /** Returns a copy of the scenario with a constant load. */
    private static Scenario atLoad(Scenario s, double load) {
        return new Scenario(
                s.name(),
                s.about(),
                s.fleet(),
                s.kinds(),
                s.classes(),
                new Scenario.TrafficPlan(
                        s.traffic().lengthMicros(),
                        List.of(new Traffic.Point(0, load)),
                        s.traffic().burstShare(),
                        s.traffic().burstSeconds(),
                        s.traffic().hl7Share()),
                s.events());
    }

    private int compare() throws ConfigurationException, IOException {
        if (operands.size() != 2) {
            throw new ConfigurationException("rehearse compare", "two folders of runs, not " + operands.size());
        }
        System.out.print(Comparison.table(Path.of(operands.get(0)), Path.of(operands.get(1))));
        return EXIT_PASSED;
    }
}
