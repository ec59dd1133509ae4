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
import lilaclever.lab.audit.DeductionRates;
import lilaclever.lab.model.Traffic;
import lilaclever.lab.report.Comparison;
import lilaclever.lab.report.Report;
import lilaclever.lab.report.Sweep;
import lilaclever.lab.scenario.Overrides;
import lilaclever.lab.scenario.Scenario;
import lilaclever.lab.scenario.ScenarioReader;
import lilaclever.lab.sockets.RealSockets;
import lilaclever.lab.virtual.VirtualTime;
import lilaclever.lab.world.Fault;
import lilaclever.lab.world.Result;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code rehearse list|show|check|run|sweep|compare}: plays scenarios, in virtual time or on sockets, and reports. */
public final class RehearseCommand implements Main.Command {
    private static final int GOOD = 0, BROKEN = 1, UNUSABLE = 2, DOUBTFUL = 3;

    /** What to do. */
    enum What {
        LIST,
        SHOW,
        CHECK,
        RUN,
        SWEEP,
        COMPARE
    }

    @Argument(index = 0, required = true, metaVar = "list|show|check|run|sweep|compare", usage = "what to do")
    private What what;

    @Argument(
            index = 1,
            metaVar = "SCENARIO|FOLDER",
            usage = "a shipped scenario's name or a file; with compare: two folders of runs",
            multiValued = true)
    private List<String> names = new ArrayList<>();

    @Option(name = "--seed", metaVar = "N", usage = "of the first run (default 1)")
    private long seed = 1;

    @Option(name = "--runs", metaVar = "N", usage = "how many runs, each with the next seed (default 1; sweep: 5)")
    private int runs;

    @Option(name = "--out", metaVar = "FOLDER", usage = "where reports go (default: rehearsals/NAME)")
    private Path out;

    @Option(name = "--load", metaVar = "FROM:TO:STEP", usage = "with sweep: loads in percent (default 40:160:10)")
    private String loads = "40:160:10";

    @Option(name = "--aim", metaVar = "N", usage = "with sweep: the service below which the aim is lost (default 0.9)")
    private double aim = 0.9;

    @Option(
            name = "--set",
            metaVar = "SECTION.KEY=VALUE",
            usage = "in place of what the scenario says; with sweep, values parted by commas: "
                    + "one point of the curve each")
    private List<String> sets = new ArrayList<>();

    @Option(name = "--threads", metaVar = "N", usage = "runs side by side (default: the cores; it changes no figure)")
    private int threads = Runtime.getRuntime().availableProcessors();

    @Option(
            name = "--sockets",
            usage = "with run: in real time, with a process for each forwarder and stand-ins on the loopback")
    private boolean sockets;

    private final Interrupt interrupt = new Interrupt();

    @Override
    public Integer run() throws ConfigurationException {
        try {
            return switch (what) {
                case LIST -> list();
                case SHOW -> show();
                case CHECK -> check();
                case RUN -> play();
                case SWEEP -> sweep();
                case COMPARE -> compare();
            };
        } catch (IOException | ExecutionException e) {
            System.err.println("lilaclever: rehearse: "
                    + (e instanceof IOException ? e.getMessage() : e.getCause().toString()));
            return UNUSABLE;
        } catch (InterruptedException e) {
            return UNUSABLE;
        }
    }

    private static int list() throws ConfigurationException {
        for (String name : ScenarioReader.SHIPPED) {
            System.out.printf("%-30s %s%n", name, ScenarioReader.read(name).about());
        }
        return GOOD;
    }

    private String one() throws ConfigurationException {
        if (names.size() != 1) {
            throw new ConfigurationException(
                    "rehearse " + what.name().toLowerCase(Locale.ROOT), "one scenario, not " + names.size());
        }
        return names.get(0);
    }

    private int show() throws ConfigurationException, IOException {
        String name = one();
        System.out.print(
                ScenarioReader.SHIPPED.contains(name) ? ScenarioReader.text(name) : Files.readString(Path.of(name)));
        return GOOD;
    }

    private int check() throws ConfigurationException {
        for (String name : names.isEmpty() ? ScenarioReader.SHIPPED : names) {
            Scenario s = ScenarioReader.read(name);
            System.out.println(name + " is good: " + s.fleet().forwarders() + " forwarders, "
                    + s.fleet().destinations() + " destinations, " + s.traffic().lengthMicros() / 1_000_000 + " s, "
                    + s.events().size() + " events");
        }
        return GOOD;
    }

    private Path folder(Scenario s) {
        return out != null ? out : Path.of("rehearsals", s.name());
    }

    private Scenario scenario() throws ConfigurationException {
        return ScenarioReader.read(one(), settingsBut(null));
    }

    /** What the command line sets, but for one. */
    private List<Overrides.Setting> settingsBut(String swept) throws ConfigurationException {
        List<Overrides.Setting> settings = new ArrayList<>();
        for (String s : sets) {
            if (!s.equals(swept)) {
                settings.add(Overrides.Setting.of(s));
            }
        }
        return settings;
    }

    private int play() throws ConfigurationException, IOException, InterruptedException, ExecutionException {
        Scenario scenario = scenario();
        String tooLarge = sockets ? RealSockets.tooLarge(scenario) : null;
        if (tooLarge != null) {
            throw new ConfigurationException(
                    "--sockets", scenario.name() + " is too large for one machine: " + tooLarge + "; play it without");
        }
        int n = Math.max(1, runs);
        boolean alone = n == 1;
        AtomicInteger broken = new AtomicInteger(), doubtful = new AtomicInteger();
        List<Double> services = new ArrayList<>();
        interrupt.watch();
        try {
            sideBySide(
                    n,
                    i -> {
                        Path to = alone ? folder(scenario) : folder(scenario).resolve("seed-" + (seed + i));
                        Result r = one(scenario, seed + i, to, alone);
                        Report.write(r, to);
                        return r;
                    },
                    r -> {
                        System.out.print(
                                alone
                                        ? Report.summary(r)
                                        : Report.summary(r).lines().findFirst().orElse("") + "\n");
                        broken.addAndGet(r.auditor().breachCounts().isEmpty() ? 0 : 1);
                        if (r.trust() != null && !r.trust().good()) {
                            doubtful.incrementAndGet();
                            if (!alone) {
                                System.out.println(r.trust().text());
                            }
                        }
                        services.add(r.auditor().service().figure(DeductionRates.DEFAULT));
                    });
        } finally {
            interrupt.done();
        }
        double[] interval = Comparison.interval(services);
        if (interval != null) {
            DoubleSummaryStatistics all =
                    services.stream().mapToDouble(Double::doubleValue).summaryStatistics();
            System.out.printf(
                    Locale.ROOT,
                    "%d runs: service %.3f (%.3f to %.3f), 95%% of chance %.3f to %.3f; rules broken in %d%n",
                    n,
                    all.getAverage(),
                    all.getMin(),
                    all.getMax(),
                    interval[0],
                    interval[1],
                    broken.get());
        }
        System.out.println("report: " + folder(scenario).resolve(alone ? "index.html" : ""));
        return interrupt.come() ? Interrupt.CODE : broken.get() > 0 ? BROKEN : doubtful.get() > 0 ? DOUBTFUL : GOOD;
    }

    private Result one(Scenario scenario, long itsSeed, Path to, boolean alone) throws IOException {
        LongConsumer hears = alone ? this::progress : now -> {};
        if (!sockets) {
            return VirtualTime.run(scenario, itsSeed, Fault.NONE, hears, interrupt::come);
        }
        Path folder = Files.createDirectories(to.resolve("forwarders")).toAbsolutePath();
        Path life = Files.createTempDirectory(folder, "run-");
        try {
            return RealSockets.run(
                    scenario, itsSeed, life, ChildProcessCommand.command("serve"), hears, interrupt::come);
        } catch (InterruptedException e) {
            throw new InterruptedIOException("cut short");
        }
    }

    private void progress(long now) {
        if (System.console() != null && now / 1_000_000 % 10 == 0) {
            System.err.print("\r" + now / 1_000_000 + " s ");
        }
    }

    /** Plays runs on several threads and hands their results over in order. */
    private void sideBySide(int n, Play play, java.util.function.Consumer<Result> each)
            throws InterruptedException, ExecutionException {
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, Math.min(n, threads)));
        try {
            List<Future<Result>> all = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                int index = i;
                all.add(pool.submit(() -> play.run(index)));
            }
            for (int i = 0; i < n; i++) {
                each.accept(all.get(i).get());
                all.set(i, null); // a run is large: what was told goes
            }
        } finally {
            pool.shutdownNow();
        }
    }

    private interface Play {
        Result run(int index) throws IOException;
    }

    /** A point of a sweep: the scenario there, its place on the axis, and what people call it. */
    private record Point(Scenario scenario, double x, String label) {}

    private int sweep() throws ConfigurationException, IOException, InterruptedException, ExecutionException {
        boolean overLoad = sets.stream().noneMatch(s -> s.contains(","));
        List<Point> points = overLoad ? loads() : settings();
        Scenario first = points.get(0).scenario();
        int n = runs > 0 ? runs : 5;
        Sweep sweep = new Sweep(overLoad ? "load, % of the full load" : swept().substring(0, swept().indexOf('=')));
        AtomicInteger allBroken = new AtomicInteger();
        interrupt.watch();
        try {
            for (Point point : points) {
                List<Double> services = new ArrayList<>();
                AtomicInteger broken = new AtomicInteger();
                sideBySide(
                        n,
                        i -> VirtualTime.run(point.scenario(), seed + i, Fault.NONE, now -> {}, interrupt::come),
                        r -> {
                            services.add(r.auditor().service().figure(DeductionRates.DEFAULT));
                            broken.addAndGet(r.auditor().breachCounts().size());
                        });
                if (interrupt.come()) {
                    break; // a point of cut runs is none
                }
                allBroken.addAndGet(broken.get());
                System.out.println(sweep.add(point.x(), point.label(), services, broken.get()));
            }
            sweep.write(folder(first), first.name());
        } finally {
            interrupt.done();
        }
        if (overLoad) {
            System.out.printf(
                    Locale.ROOT, "service stays at %.2f up to a load of %.0f%%%n", aim, sweep.highestLoadMeeting(aim));
        }
        System.out.println("plot: " + folder(first).resolve("sweep.png"));
        return interrupt.come() ? Interrupt.CODE : allBroken.get() == 0 ? GOOD : BROKEN;
    }

    private List<Point> loads() throws ConfigurationException {
        if (!loads.matches("\\d{1,4}:\\d{1,4}:[1-9]\\d{0,3}")) {
            throw new ConfigurationException("--load", "FROM:TO:STEP in percent, such as 40:160:10, not " + loads);
        }
        String[] parts = loads.split(":");
        Scenario scenario = scenario();
        List<Point> points = new ArrayList<>();
        for (int percent = Integer.parseInt(parts[0]);
                percent <= Integer.parseInt(parts[1]);
                percent += Integer.parseInt(parts[2])) {
            points.add(new Point(atLoad(scenario, percent / 100.0), percent, "load " + percent + "%"));
        }
        if (points.isEmpty()) {
            throw new ConfigurationException("--load", "no load from " + parts[0] + " to " + parts[1]);
        }
        return points;
    }

    private String swept() {
        return sets.stream().filter(s -> s.contains(",")).findFirst().orElse("");
    }

    /** A point for each value of the one setting that has several. */
    private List<Point> settings() throws ConfigurationException {
        String swept = swept();
        if (sets.stream().filter(s -> s.contains(",")).count() > 1) {
            throw new ConfigurationException("--set", "one setting with several values, not two");
        }
        Overrides.Setting form = Overrides.Setting.of(swept);
        List<Point> points = new ArrayList<>();
        for (String value : form.value().split(",")) {
            List<Overrides.Setting> settings = settingsBut(swept);
            settings.add(new Overrides.Setting(form.section(), form.key(), value.strip()));
            java.util.regex.Matcher number =
                    java.util.regex.Pattern.compile("[0-9.]+").matcher(value);
            points.add(new Point(
                    ScenarioReader.read(one(), settings),
                    number.find() ? Double.parseDouble(number.group()) : points.size(),
                    form.key() + ' ' + value.strip()));
        }
        return points;
    }

    /** The same scenario at one load all the time. */
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
        if (names.size() != 2) {
            throw new ConfigurationException("rehearse compare", "two folders of runs, not " + names.size());
        }
        System.out.print(Comparison.table(Path.of(names.get(0)), Path.of(names.get(1))));
        return GOOD;
    }
}
