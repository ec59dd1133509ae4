package lilaclever.program;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lilaclever.DecisionModule;
import lilaclever.conf.ConfigurationException;
import lilaclever.journal.BootClock;
import lilaclever.journal.FolderDisk;
import lilaclever.journal.JournalClocks;
import lilaclever.journal.SegmentedJournal;
import lilaclever.log.Logs;
import lilaclever.protocol.http.DirectoryClient;
import lilaclever.protocol.http.HttpDeliverer;
import lilaclever.protocol.http.HttpFront;
import lilaclever.protocol.http.NoticeSender;
import lilaclever.protocol.mail.MailDeliverer;
import lilaclever.protocol.mail.MailFront;
import lilaclever.protocol.mail.MailSettings;
import lilaclever.protocol.mail.ReportFront;
import lilaclever.protocol.mllp.MllpFront;
import lilaclever.protocol.operator.OperatorPort;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.EndpointMembership;
import lilaclever.routing.ManualDrains;
import lilaclever.routing.MessageClasses;
import lilaclever.routing.ZoneNames;
import lilaclever.transport.Transport;

/** Assembles, starts and stops the components of the forwarder. */
final class Forwarder {
    /**
     * Times since the signal: clients are accepted until the first, calls may run until the second, and shutdown is
     * complete by the third.
     */
    private static final long ACCEPT_PERIOD_MICROS = 500_000,
            CALL_DEADLINE_MICROS = 3_200_000,
            SHUTDOWN_DEADLINE_MICROS = 3_400_000;

    private static final long IDLE_CHECK_PERIOD_MICROS = 20_000;

    private final Transport transport;
    private final SegmentedJournal journal;
    private final Core core;
    private final HttpFront httpFront;
    private final MessageClasses classes;
    /** The configuration in use; a reload replaces it. */
    private Config config;

    private final NoticeSender notices;
    private final DirectoryClient directory;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private MllpFront mllpFront;
    /** Null if mail is disabled. */
    private ReportFront reports;

    private final List<MailFront> mailFronts = new ArrayList<>();
    private final List<SocketAddress> addresses = new ArrayList<>();

    private Forwarder(Config config, OperatorSettings operator, MailSettings mail)
            throws IOException, ConfigurationException {
        this.config = config.withoutKnown();
        classes = new MessageClasses(config.classNames(), config.settings().classes());
        DecisionModule.Limits limits = config.settings().limits();
        long connect = limits.connectTimeoutMicros();
        long keepAlive = limits.keepAliveMicros();
        transport = new Transport();
        journal = openJournal(config, operator);
        journal.useZones(new ZoneNames(config.zones()));
        new PendingClassResolver(config, classes).resolve(journal);
        DecisionModule.Settings settings = config.settings().withClasses(classes.definitions());
        Counters counters = new Counters();
        registerJournalMetrics(journal, counters);
        core = new Core(
                settings, config.seed(), journal, counters, operator.identity().windows());
        Path state = config.state(); // lambdas must not retain the configuration with its endpoint list
        ManualDrains drains = new ManualDrains(core, config.readSuspended(), ids -> Config.saveSuspended(state, ids));
        HttpDeliverer deliverer = new HttpDeliverer(core, transport, connect, keepAlive, config.maxIdle());
        notices = new NoticeSender(core, transport, config.discovery(), connect, keepAlive);
        long departureFileBytes = config.departuresReservedBytes() / 2; // the new file is written beside the old one
        EndpointMembership membership = new EndpointMembership(
                DepartureFile.read(state), departures -> DepartureFile.write(state, departures, departureFileBytes));
        counters.entryGauge("departed", membership::departureCount);
        directory = new DirectoryClient(
                core,
                transport,
                config.discovery(),
                deliverer,
                new DirectoryClient.KindsAndZones(config.kinds(), config.zones(), settings.kinds()),
                connect,
                keepAlive,
                membership,
                drains::updateEndpoints);
        httpFront = new HttpFront(
                core,
                classes,
                config.maxClients(mail != null, operator.mllpConnections()),
                config.keepAliveClientLimit(),
                notices,
                operator.identity().practiceHeader());
        core.add(httpFront);
        if (mail != null) {
            startMail(config, mail);
        }
        if (operator.mllp() != null) {
            mllpFront = new MllpFront(core, operator.mllp(), classes);
            core.add(mllpFront);
        }
        DirectoryClient.ResolvedList known = config.known() == null ? null : directory.resolve(config.known());
        deliverer.start();
        List<Core.ListedEndpoint> listed = known == null ? List.of() : known.entries();
        directory.start(known == null ? -1 : known.version(), listed);
        long version = known == null ? 0 : known.version();
        core.start(
                drains.withSuspensions(
                        DecisionModule.ListingKind.REMEMBERED,
                        version,
                        listed.stream().map(Forwarder::withoutNewMessages).toList()),
                version);
        addresses.add(httpFront.listen(transport, Transport.parseAddress(config.listen())));
        if (config.operator() != null) {
            addresses.add(new OperatorPort(core, drains).listen(transport, Transport.parseAddress(config.operator())));
        }
        for (MailFront each : mailFronts) {
            addresses.addAll(each.listen(transport));
        }
        if (mllpFront != null) {
            addresses.addAll(mllpFront.listen(transport));
        }
    }

    private void startMail(Config config, MailSettings mail) {
        DecisionModule.Limits limits = config.settings().limits();
        reports = ReportFront.create(
                core,
                mail,
                classes,
                config.diskBytes(),
                limits.maxOpenMessages(),
                limits.slots(),
                new SplittableRandom(config.seed()));
        core.add(reports);
        for (MailSettings.Protocol protocol : MailSettings.Protocol.values()) {
            mailFronts.add(new MailFront(core, mail, classes, protocol, reports, config.maxMail()));
        }
        mailFronts.forEach(core::add);
        int zone = config.settings().zone();
        new MailDeliverer(
                        core,
                        transport,
                        mail,
                        zone,
                        limits.connectTimeoutMicros(),
                        limits.keepAliveMicros(),
                        config.maxMail())
                .start();
    }

    private static SegmentedJournal openJournal(Config config, OperatorSettings operator) throws IOException {
        return new SegmentedJournal(
                FolderDisk.lock(config.state()),
                config.diskBytes() - config.stateFilesBytes(),
                operator.journal().durability(),
                new JournalClocks(
                        Core::monotonicMicros,
                        Core::wallMicros,
                        BootClock.read(Core::monotonicMicros, Core::wallMicros)),
                new SplittableRandom(config.seed() ^ System.nanoTime()));
    }

    /**
     * Marks an active endpoint of the initial list as leaving, so that it gets no new messages until discovery has
     * answered.
     */
    private static Core.ListedEndpoint withoutNewMessages(Core.ListedEndpoint listed) {
        return listed.entry().presence() == DecisionModule.Presence.ACTIVE
                ? listed.withPresence(DecisionModule.Presence.LEAVING)
                : listed;
    }

    private static void registerJournalMetrics(SegmentedJournal journal, Counters counters) {
        counters.entryGauge("unwritten", journal::unwrittenCount);
        counters.valueGauge("journal_files", journal::fileCount);
        counters.valueGauge("journal_bytes", journal::allocatedBytes);
        counters.valueGauge("journal_bytes_copied", journal::copiedBytes);
        counters.valueGauge("journal_failures", journal::failureCount);
        counters.valueGauge(
                "journal_damages", () -> journal.recoveryReport().damages().size());
    }

    /** Starts all components without an operator's file; {@code mail} is null if mail is disabled. */
    static Forwarder start(Config config, MailSettings mail) throws IOException, ConfigurationException {
        return start(config, OperatorSettings.defaults(config), mail);
    }

    /** Starts all components; {@code mail} is null if mail is disabled. */
    static Forwarder start(Config config, OperatorSettings operator, MailSettings mail)
            throws IOException, ConfigurationException {
        Forwarder forwarder = new Forwarder(config, operator, mail);
        Logs.info(
                "",
                "sizes",
                config.settings().limits().slots() + " slots, "
                        + config.settings().limits().maxOpenMessages() + " pending messages, " + config.sockets()
                        + " sockets: "
                        + config.maxClients(mail != null, operator.mllpConnections()) + " for clients, "
                        + config.maxIdle() + " idle connections to endpoints");
        Logs.info("", "serves", config.name() + " serves at " + forwarder.addresses);
        return forwarder;
    }

    /**
     * Returns the listening addresses: HTTP, then the operator port if there is one, then SMTP, then LMTP, each in the
     * order of the mail file, then HL7.
     */
    List<SocketAddress> addresses() {
        return addresses;
    }

    /**
     * Reloads the configuration file; an invalid one changes nothing. Any thread; concurrent calls run one after
     * the other.
     */
    synchronized void reload(Map<String, String> variables) {
        try {
            Config read = Config.reread(variables, config);
            apply(config.withReloadableSettings(read));
            for (String key : read.keysNeedingRestart(config)) {
                Logs.warn(
                        "configuration",
                        "needs-restart",
                        key + ": a change needs a restart; the old one stays",
                        "key",
                        key);
            }
            try {
                read.saveDiscovery(config.state());
            } catch (IOException e) {
                Logs.warn(
                        "", "discovery-not-noted", "discovery address not saved, a restart may use the old one: " + e);
            }
            core.post(() -> {
                directory.moveTo(read.discovery());
                notices.moveTo(read.discovery());
            });
            Logs.info("", "reloaded", "configuration read again, discovery at " + read.discovery());
        } catch (ConfigurationException e) {
            Logs.error("configuration", "reload-refused", e.getMessage() + "; the old one stays");
        }
    }

    /** Applies new classes and attempts; pending messages keep their class. */
    private void apply(Config next) throws ConfigurationException {
        if (next.equals(config)) {
            return;
        }
        MessageClasses.Update update;
        try {
            update = classes.prepare(next.classNames(), next.settings().classes());
        } catch (MessageClasses.TooManyVersionsException e) {
            throw new ConfigurationException("settings.requestClasses", e.getMessage());
        }
        config = next;
        CountDownLatch applied = new CountDownLatch(1);
        core.post(() -> {
            core.updateSettings(next.settings().withClasses(update.definitions()));
            classes.apply(update);
            applied.countDown();
        });
        try {
            applied.await(1, TimeUnit.SECONDS); // so that the line below is logged after the change
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Logs.info(
                "",
                "renewed",
                "classes "
                        + String.join(" ", next.classNames()) + ", "
                        + next.settings().limits().maxAttempts() + " attempts");
    }

    /**
     * Shuts down gracefully, before the supervisor kills the process: starts no call that the kill could
     * interrupt, and leaves what is pending in the journal.
     */
    void stop() {
        try {
            core.post(this::beginShutdown);
            stopped.await(SHUTDOWN_DEADLINE_MICROS, TimeUnit.MICROSECONDS);
            core.stop();
            System.err.print(core.counters().toText());
            journal.close();
            transport.close();
        } catch (InterruptedException | IOException e) {
            Logs.error("", "end-failed", "shutdown failed: " + e);
        }
    }

    private void beginShutdown() {
        long signalMicros = core.nowMicros();
        core.deadlines().schedule(signalMicros + ACCEPT_PERIOD_MICROS, () -> {
            core.beginShutdown(signalMicros + CALL_DEADLINE_MICROS);
            httpFront.close();
            mailFronts.forEach(MailFront::close);
            if (mllpFront != null) {
                mllpFront.close();
            }
            awaitIdle(signalMicros + SHUTDOWN_DEADLINE_MICROS);
        });
    }

    /** The number of final statuses owed to clients that can't be reached now. */
    private int unreachableClients() {
        int pendingAnswers = mllpFront == null ? 0 : mllpFront.pendingAnswerCount();
        return pendingAnswers + (reports == null ? 0 : reports.waitingCount());
    }

    private void awaitIdle(long deadlineMicros) {
        if (core.nowMicros() >= deadlineMicros || core.isIdle(unreachableClients()) && httpFront.isClosed()) {
            stopped.countDown();
        } else {
            core.deadlines().schedule(core.nowMicros() + IDLE_CHECK_PERIOD_MICROS, () -> awaitIdle(deadlineMicros));
        }
    }
}
