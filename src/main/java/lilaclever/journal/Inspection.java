package lilaclever.journal;

import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Base64;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import lilaclever.identity.CompletedMessage;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/**
 * What people do with the folder of a program that is stopped: look into it, check it, make it small, and read out what
 * it holds. All but {@link #compact} only reads.
 */
public final class Inspection {
    /** Exit codes: all is well; damage was found; the folder can't be used. */
    public static final int GOOD = 0, DAMAGED = 1, UNUSABLE = 2;

    private final Path folder;
    private final PrintStream out;

    /** Of this folder; what is found is printed there. */
    public Inspection(Path folder, PrintStream out) {
        this.folder = folder;
        this.out = out;
    }

    private FolderDisk take() throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new JournalException(folder + " is not a folder");
        }
        return FolderDisk.take(folder);
    }

    /** Prints each file with what is in it, and what the whole says. */
    public int inspect() throws IOException {
        try (FolderDisk disk = take()) {
            JournalState state = new JournalState();
            Recovery recovery = new Recovery(disk, state, BootClock.UNKNOWN, line -> {});
            Recovery.Report report = recovery.scan();
            out.printf("%-26s %9s %9s %9s %7s  %s%n", "file", "bytes", "used", "live", "records", "of which");
            for (Recovery.Found f : recovery.found()) {
                Segment s = f.segment();
                Map<String, Integer> counts = new TreeMap<>();
                f.counts().forEach((type, n) -> counts.put(type.name().toLowerCase(), n));
                out.printf(
                        "%-26s %9d %9d %9d %7d  %s%s%n",
                        s.name,
                        s.length,
                        s.used,
                        s.liveBytes,
                        f.counts().values().stream().mapToInt(Integer::intValue).sum(),
                        f.header() == null ? s.sequence == Segment.LEGACY ? "format 0" : "no header" : counts,
                        s.damaged ? " damaged" : "");
            }
            for (String name : disk.names()) {
                if (name.startsWith(SegmentLog.SPARE) || name.startsWith(SegmentLog.DAMAGED)) {
                    out.printf("%-26s %9d%n", name, disk.length(name));
                }
            }
            long out1 = state.owed.values().stream()
                    .filter(s -> s.value.isInFlight())
                    .count();
            long risky = state.owed.values().stream()
                    .filter(s -> s.value.mayHaveRun())
                    .count();
            long ends = state.owed.values().stream()
                    .filter(s -> s.value.finalStatus() != null)
                    .count();
            out.println("owed " + state.owed.size() + ", of which out " + out1 + ", possibly run " + risky
                    + ", end decided " + ends);
            out.println("remembered ends " + state.remembered.size());
            return told(report);
        }
    }

    /** Reads all and prints only what is wrong. */
    public int verify() throws IOException {
        try (FolderDisk disk = take()) {
            return told(new Recovery(disk, new JournalState(), BootClock.UNKNOWN, line -> {}).scan());
        }
    }

    private int told(Recovery.Report report) {
        for (Recovery.Damage d : report.damages()) {
            out.println("damaged " + d.file() + " from byte " + d.from() + " to " + d.to());
        }
        if (report.missing() > 0) {
            out.println("missing files " + report.missing());
        }
        boolean good = report.damages().isEmpty() && report.missing() == 0;
        out.println(
                (good ? "good: " : "not good: ") + report.records() + " records in " + report.segments() + " segments");
        return good ? GOOD : DAMAGED;
    }

    /** Writes what is live into as few files as hold it; damaged files are kept aside. */
    public int compact(long mostBytes) throws IOException {
        FolderDisk disk = take();
        try (SegmentedJournal journal = new SegmentedJournal(
                disk, mostBytes, new Durability(Durability.How.GROUP, 0), times(), new SplittableRandom())) {
            long before = journal.allocated();
            journal.compactAll();
            out.println("bytes before " + before + ", now " + journal.allocated() + ", files " + journal.files());
            return told(journal.recovered());
        } catch (IOException e) {
            disk.close();
            throw e;
        }
    }

    private static JournalClocks times() {
        LongSupplier micros = () -> System.nanoTime() / 1000;
        long wallLessMicros = System.currentTimeMillis() * 1000 - micros.getAsLong();
        LongSupplier wall = () -> wallLessMicros + micros.getAsLong();
        return new JournalClocks(micros, wall, BootClock.read(micros, wall));
    }

    /** Prints what is owed and what is remembered, one JSON object a line. */
    public int export() throws IOException {
        try (FolderDisk disk = take()) {
            JournalState state = new JournalState();
            Recovery.Report report = new Recovery(disk, state, BootClock.UNKNOWN, System.err::println).scan();
            for (JournalState.Slot<PendingMessage> slot : state.owed.values()) {
                line(json -> owed(json, slot.value));
            }
            for (Map.Entry<String, JournalState.Slot<CompletedMessage<FinalStatus>>> e : state.remembered.entrySet()) {
                line(json -> {
                    json.name("remembered").value(e.getKey());
                    json.name("until").value(instant(e.getValue().value.untilWallMicros()));
                    verdict(json, e.getValue().value.result());
                });
            }
            return report.damages().isEmpty() && report.missing() == 0 ? GOOD : DAMAGED;
        }
    }

    private interface Content {
        void write(JsonWriter json) throws IOException;
    }

    private void line(Content content) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonWriter json = new JsonWriter(new PrintWriter(text))) {
            json.beginObject();
            content.write(json);
            json.endObject();
        }
        out.println(text);
    }

    private static void owed(JsonWriter json, PendingMessage o) throws IOException {
        Submission h = o.submission();
        json.name("owed").value(h.id()).name("front").value(o.front());
        json.name("class").value(h.messageClass()).name("destination").value(h.destination());
        if (h.identity() != null) {
            json.name("identity").value(h.identity());
        }
        if (h.key() != null) {
            json.name("key").value(h.key());
        }
        json.name("deadline").value(instant(o.deadlineWallMicros()));
        json.name("attempts").value(o.attempts()).name("out").value(o.isInFlight());
        json.name("possibly_run").value(o.mayHaveRun() || o.isInFlight());
        if (o.attempts() > 0) {
            json.name("last_endpoint").value(o.lastHost());
        }
        if (o.finalStatus() != null) {
            verdict(json, o.finalStatus());
        }
        if (!o.attachedSubmitters().isEmpty()) {
            json.name("owed_also_to").beginArray();
            for (PendingMessage.Submitter claim : o.attachedSubmitters()) {
                json.value(claim.front() + ' ' + claim.id());
            }
            json.endArray();
        }
        json.name("body").value(Base64.getEncoder().encodeToString(h.body()));
    }

    private static void verdict(JsonWriter json, FinalStatus v) throws IOException {
        json.name("end").value(v.kind().name().toLowerCase());
        if (!v.detail().isEmpty()) {
            json.name("detail").value(v.detail());
        }
    }

    private static String instant(long wallMicros) {
        return Instant.ofEpochMilli(wallMicros / 1000).toString();
    }
}
