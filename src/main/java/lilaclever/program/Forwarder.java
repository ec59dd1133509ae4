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
import lilaclever.protocol.http.Directory;
import lilaclever.protocol.http.HttpDeliverer;
import lilaclever.protocol.http.HttpFront;
import lilaclever.protocol.http.Notices;
import lilaclever.protocol.mail.MailDeliverer;
import lilaclever.protocol.mail.MailFront;
import lilaclever.protocol.mail.MailSettings;
import lilaclever.protocol.mllp.MllpFront;
import lilaclever.protocol.operator.OperatorPort;
import lilaclever.routing.Core;
import lilaclever.routing.Counters;
import lilaclever.routing.EndpointMembership;
import lilaclever.routing.ManualDrains;
import lilaclever.transport.Transport;

/** The parts of the serving program, put together, started and stopped. */
final class Forwarder {
    /** After the signal: so long clients still come, so long calls may be out, and then the end. */
    private static final long ACCEPT = 500_000, CALLS_BY = 3_200_000, END = 3_400_000;

    private static final long LOOK = 20_000;

    private final Transport transport;
    private final SegmentedJournal journal;
    private final Core core;
    private final HttpFront front;
    /** As it is in force: renewed at SIGHUP. */
    private Config config;

    private final Notices notices;
    private final Directory directory;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private MllpFront mllpFront;
    private final List<MailFront> mailFronts = new ArrayList<>();
    private final List<SocketAddress> addresses = new ArrayList<>();

    private Forwarder(Config config, Operator operator, MailSettings mail) throws IOException, ConfigurationException {
        this.config = config.withoutKnown();
        DecisionModule.Settings settings = config.settings();
        long connect = settings.limits().connectTimeoutMicros();
        long keep = settings.limits().keepAliveMicros();
        transport = new Transport();
        journal = new SegmentedJournal(
                FolderDisk.take(config.state()),
                config.diskBytes() - config.noteBytes(),
                operator.journal().durability(),
                new JournalClocks(
                        Core::monotonicMicros,
                        Core::wallMicros,
                        BootClock.read(Core::monotonicMicros, Core::wallMicros)),
                new SplittableRandom(config.seed() ^ System.nanoTime()));
        Counters counters = new Counters();
        figures(journal, counters);
        core = new Core(
                settings, config.seed(), journal, counters, operator.identity().windows());
        Path state = config.state(); // what outlives this constructor must not refer to the list in the configuration
        ManualDrains suspensions = new ManualDrains(core, config.suspended(), ids -> Config.noteSuspended(state, ids));
        HttpDeliverer deliverer = new HttpDeliverer(core, transport, connect, keep, config.mostIdle());
        notices = new Notices(core, transport, config.discovery(), connect, keep);
        long noteBytes = config.departuresBytes() / 2; // the new note is written beside the old one
        EndpointMembership membership = new EndpointMembership(
                DepartureNote.read(state), departures -> DepartureNote.write(state, departures, noteBytes));
        counters.entryGauge("departed", membership::departureCount);
        directory = new Directory(
                core,
                transport,
                config.discovery(),
                deliverer,
                new Directory.Names(config.kinds(), config.zones(), settings.kinds()),
                connect,
                keep,
                membership,
                suspensions::updateEndpoints);
        front = new HttpFront(
                core,
                config.classNames(),
                settings.classes(),
                config.mostClients(mail != null, operator.mllpConnections()),
                config.crowd(),
                notices,
                operator.identity().practiceHeader());
        core.add(front);
        if (mail != null) {
            for (MailSettings.Protocol protocol : MailSettings.Protocol.values()) {
                mailFronts.add(new MailFront(core, mail, protocol, config.mostMail()));
            }
            mailFronts.forEach(core::add);
            new MailDeliverer(core, transport, mail, settings.zone(), connect, keep, config.mostMail()).start();
        }
        if (operator.mllp() != null) {
            mllpFront = new MllpFront(core, operator.mllp());
            core.add(mllpFront);
        }
        Directory.Known known = config.known() == null ? null : directory.known(config.known());
        deliverer.start();
        List<Core.ListedEndpoint> listed = known == null ? List.of() : known.listed();
        directory.start(known == null ? -1 : known.index(), listed);
        long version = known == null ? 0 : known.index();
        core.start(
                suspensions.withSuspensions(
                        DecisionModule.ListingKind.REMEMBERED,
                        version,
                        listed.stream().map(Forwarder::leaving).toList()),
                version);
        addresses.add(front.listen(transport, Transport.parseAddress(config.listen())));
        if (config.operator() != null) {
            addresses.add(
                    new OperatorPort(core, suspensions).listen(transport, Transport.parseAddress(config.operator())));
        }
        for (MailFront each : mailFronts) {
            addresses.addAll(each.listen(transport));
        }
        if (mllpFront != null) {
            addresses.addAll(mllpFront.listen(transport));
        }
    }

    /** Until discovery has answered nothing new goes to an endpoint that is only known. */
    private static Core.ListedEndpoint leaving(Core.ListedEndpoint listed) {
        return listed.entry().presence() == DecisionModule.Presence.ACTIVE
                ? listed.withPresence(DecisionModule.Presence.LEAVING)
                : listed;
    }

    private static void figures(SegmentedJournal journal, Counters counters) {
        counters.entryGauge("unwritten", journal::unwritten);
        counters.valueGauge("journal_files", journal::files);
        counters.valueGauge("journal_bytes", journal::allocated);
        counters.valueGauge("journal_bytes_copied", journal::copied);
        counters.valueGauge("journal_failures", journal::failures);
        counters.valueGauge(
                "journal_damages", () -> journal.recovered().damages().size());
    }

    /** Starts all parts as the platform has them; {@code mail} is null where the mail front is off. */
    static Forwarder start(Config config, MailSettings mail) throws IOException, ConfigurationException {
        return start(config, Operator.none(config), mail);
    }

    /** Starts all parts. */
    static Forwarder start(Config config, Operator operator, MailSettings mail)
            throws IOException, ConfigurationException {
        Forwarder forwarder = new Forwarder(config, operator, mail);
        Logs.info(
                "",
                "sizes",
                config.settings().limits().slots() + " slots, "
                        + config.settings().limits().maxOpenMessages() + " held, " + config.sockets() + " sockets: "
                        + config.mostClients(mail != null, operator.mllpConnections()) + " for clients, "
                        + config.mostIdle() + " idle to endpoints");
        Logs.info("", "serves", config.name() + " serves at " + forwarder.addresses);
        return forwarder;
    }

    /**
     * Where it listens: HTTP first, then the operators' address if there is one, then SMTP and LMTP in the order of the
     * mail file, then HL7.
     */
    List<SocketAddress> addresses() {
        return addresses;
    }

    /** Takes a new configuration file on; a faulty one changes nothing. Any thread, one at a time. */
    synchronized void reload(Map<String, String> variables) {
        try {
            Config read = Config.reread(variables, config);
            renew(config.renewed(read));
            for (String key : read.restartNeeded(config)) {
                Logs.warn(
                        "configuration",
                        "needs-restart",
                        key + ": a change needs a restart; the old one stays",
                        "key",
                        key);
            }
            try {
                read.noteDiscovery(config.state());
            } catch (IOException e) {
                Logs.warn("", "discovery-not-noted", "a restart may go to the old discovery: " + e);
            }
            core.post(() -> {
                directory.move(read.discovery());
                notices.move(read.discovery());
            });
            Logs.info("", "reloaded", "configuration read again, discovery at " + read.discovery());
        } catch (ConfigurationException e) {
            Logs.error("configuration", "reload-refused", e.getMessage() + "; the old one stays");
        }
    }

    /** Has other classes and attempts hold, once they are noted; messages under way keep their class. */
    private void renew(Config next) throws ConfigurationException {
        if (next.equals(config)) {
            return;
        }
        next.noteClasses();
        config = next;
        CountDownLatch inForce = new CountDownLatch(1);
        core.post(() -> {
            core.updateSettings(next.settings());
            front.renew(next.classNames(), next.settings().classes());
            inForce.countDown();
        });
        try {
            inForce.await(1, TimeUnit.SECONDS); // what is logged then is true
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Logs.info(
                "",
                "renewed",
                "classes "
                        + String.join(
                                " ",
                                next.classNames().stream()
                                        .filter(n -> !n.isEmpty())
                                        .toList()) + ", "
                        + next.settings().limits().maxAttempts() + " attempts");
    }

    /** Ends well: nothing that the coming kill could cut is started, and the journal has the rest. */
    void stop() {
        try {
            core.post(this::stopping);
            stopped.await(END, TimeUnit.MICROSECONDS);
            core.stop();
            System.err.print(core.counters().toText());
            journal.close();
            transport.close();
        } catch (InterruptedException | IOException e) {
            Logs.error("", "end-failed", "at the end: " + e);
        }
    }

    private void stopping() {
        long told = core.nowMicros();
        core.deadlines().schedule(told + ACCEPT, () -> {
            core.beginShutdown(told + CALLS_BY);
            front.close();
            mailFronts.forEach(MailFront::close);
            if (mllpFront != null) {
                mllpFront.close();
            }
            untilQuiet(told + END);
        });
    }

    private void untilQuiet(long end) {
        if (core.nowMicros() >= end || core.isIdle(mllpFront == null ? 0 : mllpFront.away()) && front.isClosed()) {
            stopped.countDown();
        } else {
            core.deadlines().schedule(core.nowMicros() + LOOK, () -> untilQuiet(end));
        }
    }
}
