package lilaclever.program;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import org.kohsuke.args4j.CmdLineParser;

/** Prints the help: all sub-commands, or one with its options and examples. */
final class Help {
    private static final int USAGE_WIDTH = 100;

    private record Description(
            String name, Class<? extends Main.Command> type, String summary, List<String> examples) {}

    private static final String COMMAND_LINE = "java -jar target/lilaclever.jar ";
    private static final List<Description> SUB_COMMANDS = List.of(
            new Description(
                    "serve",
                    Main.ServeCommand.class,
                    "serves until SIGTERM; SIGHUP reads the configuration again",
                    List.of("ROUTER_CONFIG=config.json " + COMMAND_LINE + "serve --conf deploy/lilaclever.conf")),
            new Description(
                    "check-config",
                    Main.CheckConfigCommand.class,
                    "reads and checks the configuration that serve would use",
                    List.of("ROUTER_CONFIG=config.json " + COMMAND_LINE
                            + "check-config --conf deploy/lilaclever.conf --mail deploy/mail.json")),
            new Description(
                    "journal",
                    JournalCommand.class,
                    "inspects, verifies, compacts or exports the state folder of a stopped program",
                    List.of(
                            COMMAND_LINE + "journal verify /var/lib/lilaclever",
                            COMMAND_LINE + "journal export /var/lib/lilaclever")),
            new Description(
                    "rehearse",
                    RehearseCommand.class,
                    "simulates a day, in virtual time or on sockets, and reports service and broken rules",
                    List.of(
                            COMMAND_LINE + "rehearse list",
                            COMMAND_LINE + "rehearse run month-end --runs 20",
                            COMMAND_LINE + "rehearse run monday --sockets",
                            COMMAND_LINE + "rehearse sweep monday --load 60:140:20",
                            COMMAND_LINE + "rehearse sweep monday --set fleet.forwarders=2,4,8,16",
                            COMMAND_LINE + "rehearse compare before after")),
            new Description(
                    "selftest",
                    Main.SelfTestCommand.class,
                    "delivers one message to itself over the loopback",
                    List.of(COMMAND_LINE + "selftest")),
            new Description(
                    "simhost",
                    Main.SimhostCommand.class,
                    "runs the decision module for the simulator (standard input and output)",
                    List.of(COMMAND_LINE + "simhost < transcript")),
            new Description(
                    "version", Main.VersionCommand.class, "prints the version", List.of(COMMAND_LINE + "version")));

    private Help() {}

    /** Returns whether the arguments ask for help. */
    static boolean isWanted(String[] args) {
        return args.length == 0
                || args[0].equals("help")
                || Arrays.stream(args).anyMatch(a -> a.equals("--help") || a.equals("-h"));
    }

    /** Prints the help that the arguments ask for. */
    static void print(String[] args, PrintStream out) {
        List<String> words = Arrays.stream(args)
                .filter(a -> !a.startsWith("-") && !a.equals("help"))
                .toList();
        Description selected = words.isEmpty()
                ? null
                : SUB_COMMANDS.stream()
                        .filter(e -> e.name().equals(words.get(0)))
                        .findFirst()
                        .orElse(null);
        if (selected == null) {
            printAll(out);
        } else {
            printOne(selected, out);
        }
    }

    private static void printAll(PrintStream out) {
        out.println("usage: java -jar lilaclever.jar SUB-COMMAND [options]");
        for (Description description : SUB_COMMANDS) {
            out.printf("  %-13s %s%n", description.name(), description.summary());
        }
        out.println("SUB-COMMAND --help tells its options, with an example.");
    }

    private static void printOne(Description description, PrintStream out) {
        out.println(description.name() + ": " + description.summary());
        try {
            CmdLineParser parser =
                    new CmdLineParser(description.type().getConstructor().newInstance());
            parser.getProperties().withUsageWidth(USAGE_WIDTH);
            out.print("usage: java -jar lilaclever.jar " + description.name());
            parser.printSingleLineUsage(out);
            out.println();
            parser.printUsage(out);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("sub-command without a public no-argument constructor", e);
        }
        out.println(description.examples().size() == 1 ? "example:" : "examples:");
        description.examples().forEach(example -> out.println("  " + example));
    }
}
