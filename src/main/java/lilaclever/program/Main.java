package lilaclever.program;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import lilaclever.conf.ConfigurationException;
import lilaclever.log.Logs;
import lilaclever.protocol.mail.MailSettings;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Parses the command line and runs one sub-command. */
public final class Main {
    private static final String SUB_COMMAND_NAMES = "serve|simhost|check-config|journal|rehearse|selftest|version";

    /** A sub-command; returns the exit code, or null if the program keeps running. */
    interface Command {
        Integer run() throws Exception;
    }

    @Argument(required = true, metaVar = SUB_COMMAND_NAMES, handler = SubCommandHandler.class, usage = "what to do")
    @SubCommands({
        @SubCommand(name = "serve", impl = ServeCommand.class),
        @SubCommand(name = "simhost", impl = SimhostCommand.class),
        @SubCommand(name = "check-config", impl = CheckConfigCommand.class),
        @SubCommand(name = "journal", impl = JournalCommand.class),
        @SubCommand(name = "rehearse", impl = RehearseCommand.class),
        @SubCommand(name = "selftest", impl = SelfTestCommand.class),
        @SubCommand(name = "version", impl = VersionCommand.class)
    })
    private Command command;

    private Main() {}

    /** Runs the sub-command that the arguments name. */
    public static void main(String[] args) throws Exception {
        if (Help.isWanted(args)) {
            Help.print(args, System.out);
            System.exit(args.length == 0 ? 2 : 0);
        }
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println("lilaclever: " + e.getMessage());
            System.err.println("usage: java -jar lilaclever.jar " + SUB_COMMAND_NAMES + " [options]");
            e.getParser().printUsage(System.err);
            System.exit(2);
        }
        Integer code;
        try {
            code = main.command.run();
        } catch (ConfigurationException e) {
            System.err.println("lilaclever: configuration: " + e.getMessage());
            code = 2;
        } catch (IOException e) {
            // After a failed start the socket threads would keep the process alive.
            System.err.println("lilaclever: " + e.getMessage());
            code = 1;
        }
        if (code != null) {
            System.exit(code);
        }
    }

    /** Serves until SIGTERM. */
    public static final class ServeCommand implements Command {
        @Option(name = "--mail", metaVar = "FILE", usage = "speak SMTP and LMTP too, as this file says")
        private Path mail;

        @Option(name = "--conf", metaVar = "FILE", usage = "the operator's settings")
        private Path conf;

        @Override
        public Integer run() throws Exception {
            Config config = Config.read(System.getenv());
            OperatorSettings operator =
                    conf == null ? OperatorSettings.defaults(config) : OperatorSettings.read(conf, config);
            Logs.configure(operator.log());
            CompletableFuture<Forwarder> serving = new CompletableFuture<>();
            // Without a handler SIGHUP would end the process, so it is installed before the program reports ready.
            Runnable reload =
                    () -> serving.thenAccept(f -> f.reload(System.getenv())).join();
            Signals.onHangup(reload);
            if (Signals.isHangupIgnored()) {
                Logs.warn(
                        "",
                        "sighup-ignored",
                        "SIGHUP is ignored by whoever started this program (as nohup does): a new configuration is"
                                + " applied when its file changes, not at the signal");
                FileWatch.start(Path.of(System.getenv("ROUTER_CONFIG")), reload);
            }
            Forwarder forwarder = Forwarder.start(config, operator, mail == null ? null : config.readMail(mail));
            Runtime.getRuntime().addShutdownHook(new Thread(forwarder::stop, "stop"));
            serving.complete(forwarder);
            return null;
        }
    }

    /** Runs the decision module for the simulator, on standard input and output. */
    public static final class SimhostCommand implements Command {
        @Override
        public Integer run() {
            return lilaclever.simhost.Main.run();
        }
    }

    /** Reads and checks the configuration that serve would use. */
    public static final class CheckConfigCommand implements Command {
        @Option(name = "--mail", metaVar = "FILE", usage = "check this mail file too")
        private Path mail;

        @Option(name = "--conf", metaVar = "FILE", usage = "check this operator's file too")
        private Path conf;

        @Override
        public Integer run() throws ConfigurationException {
            Config config = Config.read(System.getenv());
            if (mail != null) {
                MailSettings read = config.readMail(mail);
                System.out.println("mail file is good: " + read.listeners().size() + " listeners, "
                        + read.routes().size() + " routes");
            }
            if (conf != null) {
                OperatorSettings read = OperatorSettings.read(conf, config);
                System.out.println("operator's file is good: journal durability "
                        + read.journal().durability().mode().name().toLowerCase());
            }
            System.out.println("configuration of " + config.name() + " is good: "
                    + config.classNames().size()
                    + " classes, " + config.settings().limits().slots() + " slots, journal up to "
                    + config.diskBytes() + " bytes in " + config.state());
            return 0;
        }
    }

    /** Delivers one message over the loopback. */
    public static final class SelfTestCommand implements Command {
        @Override
        public Integer run() throws Exception {
            return SelfTest.run();
        }
    }

    /** Prints the version. */
    public static final class VersionCommand implements Command {
        @Override
        public Integer run() {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("lilaclever " + (version == null ? "(not packaged)" : version));
            return 0;
        }
    }
}
