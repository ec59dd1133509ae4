package lilaclever.program;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import org.kohsuke.args4j.CmdLineParser;

/** What {@code --help} prints: all sub-commands, or one with its options and an example. */
final class Help {
    private static final int WIDTH = 100;

    /** A sub-command for people. */
    private record Entry(String name, Class<? extends Main.Command> type, String about, List<String> examples) {}

    private static final String JAR = "java -jar target/lilaclever.jar ";
    private static final List<Entry> ALL = List.of(
            new Entry(
                    "serve",
                    Main.ServeCommand.class,
                    "serves until it is told to end (SIGTERM); SIGHUP reads the configuration again",
                    List.of("ROUTER_CONFIG=config.json " + JAR + "serve --conf deploy/lilaclever.conf")),
            new Entry(
                    "check-config",
                    Main.CheckCommand.class,
                    "reads and checks the configuration that serve would use",
                    List.of("ROUTER_CONFIG=config.json " + JAR
                            + "check-config --conf deploy/lilaclever.conf --mail deploy/mail.json")),
            new Entry(
                    "journal",
                    JournalCommand.class,
                    "looks into the state folder of a program that is stopped",
                    List.of(JAR + "journal verify /var/lib/lilaclever", JAR + "journal export /var/lib/lilaclever")),
            new Entry(
                    "rehearse",
                    RehearseCommand.class,
                    "plays a day, in virtual time or on sockets, and reports service and broken rules",
                    List.of(
                            JAR + "rehearse list",
                            JAR + "rehearse run month-end --runs 20",
                            JAR + "rehearse run monday --sockets",
                            JAR + "rehearse sweep monday --load 60:140:20",
                            JAR + "rehearse sweep monday --set fleet.forwarders=2,4,8,16",
                            JAR + "rehearse compare before after")),
            new Entry(
                    "selftest",
                    Main.SelfTestCommand.class,
                    "delivers one message to itself over the loopback",
                    List.of(JAR + "selftest")),
            new Entry(
                    "simhost",
                    Main.SimhostCommand.class,
                    "plays the decision module on the simulator's wire (standard input and output)",
                    List.of(JAR + "simhost < transcript")),
            new Entry("version", Main.VersionCommand.class, "tells the version", List.of(JAR + "version")));

    private Help() {}

    /** True if the arguments ask for help. */
    static boolean isWanted(String[] args) {
        return args.length == 0
                || args[0].equals("help")
                || Arrays.stream(args).anyMatch(a -> a.equals("--help") || a.equals("-h"));
    }

    /** Prints what the arguments ask for. */
    static void print(String[] args, PrintStream out) {
        List<String> words = Arrays.stream(args)
                .filter(a -> !a.startsWith("-") && !a.equals("help"))
                .toList();
        Entry one = words.isEmpty()
                ? null
                : ALL.stream()
                        .filter(e -> e.name().equals(words.get(0)))
                        .findFirst()
                        .orElse(null);
        if (one == null) {
            all(out);
        } else {
            one(one, out);
        }
    }

    private static void all(PrintStream out) {
        out.println("usage: java -jar lilaclever.jar SUB-COMMAND [options]");
        for (Entry e : ALL) {
            out.printf("  %-13s %s%n", e.name(), e.about());
        }
        out.println("SUB-COMMAND --help tells its options, with an example.");
    }

    private static void one(Entry e, PrintStream out) {
        out.println(e.name() + ": " + e.about());
        try {
            CmdLineParser parser = new CmdLineParser(e.type().getConstructor().newInstance());
            parser.getProperties().withUsageWidth(WIDTH);
            out.print("usage: java -jar lilaclever.jar " + e.name());
            parser.printSingleLineUsage(out);
            out.println();
            parser.printUsage(out);
        } catch (ReflectiveOperationException x) {
            throw new IllegalStateException("a sub-command without a constructor", x);
        }
        out.println(e.examples().size() == 1 ? "example:" : "examples:");
        e.examples().forEach(x -> out.println("  " + x));
    }
}
