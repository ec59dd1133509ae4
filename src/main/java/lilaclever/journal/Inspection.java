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
import lilaclever.routing.ClassVersion;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.PendingMessage;
import lilaclever.routing.Submission;

/**
 * The operator's commands for the journal of a stopped program: inspect, verify, compact and export. Only {@link
 * #compact} writes.
 */
public final class Inspection {
    /** Exit codes: no damage; damage was found; the folder can't be used. */
    public static final int GOOD = 0, DAMAGED = 1, UNUSABLE = 2;

    private final Path folder;
    private final PrintStream out;

    /** Inspects this folder and prints the results to {@code out}. */
    public Inspection(Path folder, PrintStream out) {
        this.folder = folder;
        this.out = out;
    }

    private FolderDisk lockFolder() throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new JournalException(folder + " is not a folder");
        }
        return FolderDisk.lock(folder);
    }

    /** Prints each file with its contents, and a summary of the state. */
    public int inspect() throws IOException {
        try (FolderDisk disk = lockFolder()) {
            JournalState state = new JournalState();
            Recovery recovery = new Recovery(disk, state, BootClock.UNKNOWN, line -> {});
            Recovery.Report report = recovery.scan();
            out.printf("%-26s %9s %9s %9s %7s  %s%n", "file", "bytes", "used", "live", "records", "of which");
            for (Recovery.ScannedSegment scanned : recovery.scannedSegments()) {
                Segment segment = scanned.segment();
                Map<String, Integer> counts = new TreeMap<>();
                scanned.counts().forEach((type, n) -> counts.put(type.name().toLowerCase(), n));
                out.printf(
                        "%-26s %9d %9d %9d %7d  %s%s%n",
                        segment.name,
                        segment.lengthBytes,
                        segment.usedBytes,
                        segment.liveBytes,
                        scanned.counts().values().stream()
                                .mapToInt(Integer::intValue)
                                .sum(),
                        scanned.header() == null
                                ? segment.sequence == Segment.LEGACY_SEQUENCE ? "format 0" : "no header"
                                : counts,
                        segment.damaged ? " damaged" : "");
            }
            for (String name : disk.fileNames()) {
                if (name.startsWith(SegmentLog.PREALLOCATED_PREFIX) || name.startsWith(SegmentLog.DAMAGED_PREFIX)) {
                    out.printf("%-26s %9d%n", name, disk.length(name));
                }
            }
            long inFlight = state.pending.values().stream()
                    .filter(entry -> entry.value.isInFlight())
                    .count();
            long possiblyRun = state.pending.values().stream()
                    .filter(entry -> entry.value.mayHaveRun())
                    .count();
            long decided = state.pending.values().stream()
                    .filter(entry -> entry.value.finalStatus() != null)
                    .count();
            out.println("owed " + state.pending.size() + ", of which out " + inFlight + ", possibly run " + possiblyRun
                    + ", end decided " + decided);
            out.println("remembered ends " + state.remembered.size());
            return printSummary(report);
        }
    }

    /** Reads everything and prints only faults. */
    public int verify() throws IOException {
        try (FolderDisk disk = lockFolder()) {
            return printSummary(new Recovery(disk, new JournalState(), BootClock.UNKNOWN, line -> {}).scan());
        }
    }

    private int printSummary(Recovery.Report report) {
        for (Recovery.Damage damage : report.damages()) {
            out.println("damaged " + damage.file() + " from byte " + damage.from() + " to " + damage.to());
        }
        if (report.missingSegments() > 0) {
            out.println("missing files " + report.missingSegments());
        }
        boolean good = report.damages().isEmpty() && report.missingSegments() == 0;
        out.println(
                (good ? "good: " : "not good: ") + report.records() + " records in " + report.segments() + " segments");
        return good ? GOOD : DAMAGED;
    }

    /** Writes all live records into as few files as possible; damaged files are kept under another name. */
    public int compact(long quotaBytes) throws IOException {
        FolderDisk disk = lockFolder();
        try (SegmentedJournal journal = new SegmentedJournal(
                disk, quotaBytes, new Durability(Durability.Mode.GROUP, 0), clocks(), new SplittableRandom())) {
            long bytesBefore = journal.allocatedBytes();
            journal.compactAll();
            out.println("bytes before " + bytesBefore + ", now " + journal.allocatedBytes() + ", files "
                    + journal.fileCount());
            return printSummary(journal.recoveryReport());
        } catch (IOException e) {
            disk.close();
            throw e;
        }
    }

    private static JournalClocks clocks() {
        LongSupplier monotonicMicros = () -> System.nanoTime() / 1000;
        long offsetMicros = System.currentTimeMillis() * 1000 - monotonicMicros.getAsLong();
        LongSupplier wallMicros = () -> offsetMicros + monotonicMicros.getAsLong();
        return new JournalClocks(monotonicMicros, wallMicros, BootClock.read(monotonicMicros, wallMicros));
    }

    /** Prints the pending messages and the remembered results, one JSON object per line. */
    public int export() throws IOException {
        try (FolderDisk disk = lockFolder()) {
            JournalState state = new JournalState();
            Recovery.Report report = new Recovery(disk, state, BootClock.UNKNOWN, System.err::println).scan();
            for (JournalState.Entry<PendingMessage> entry : state.pending.values()) {
                printLine(json -> pendingMessage(json, entry.value));
            }
            for (Map.Entry<String, JournalState.Entry<CompletedMessage<FinalStatus>>> e : state.remembered.entrySet()) {
                printLine(json -> {
                    json.name("remembered").value(e.getKey());
                    json.name("until").value(instant(e.getValue().value.untilWallMicros()));
                    finalStatus(json, e.getValue().value.finalStatus());
                });
            }
            return report.damages().isEmpty() && report.missingSegments() == 0 ? GOOD : DAMAGED;
        }
    }

    private interface JsonContent {
        void write(JsonWriter json) throws IOException;
    }

    private void printLine(JsonContent content) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonWriter json = new JsonWriter(new PrintWriter(text))) {
            json.beginObject();
            content.write(json);
            json.endObject();
        }
        out.println(text);
    }

    private static void pendingMessage(JsonWriter json, PendingMessage message) throws IOException {
        Submission submission = message.submission();
        json.name("owed").value(submission.id()).name("front").value(message.front());
        ClassVersion messageClass = submission.messageClass();
        if (messageClass.definition() == null) {
            json.name("class").value(messageClass.number()); // earlier formats have no name
        } else {
            json.name("class").value(messageClass.name());
        }
        json.name("destination").value(submission.destination());
        if (submission.identity() != null) {
            json.name("identity").value(submission.identity());
        }
        if (submission.key() != null) {
            json.name("key").value(submission.key());
        }
        json.name("deadline").value(instant(message.deadlineWallMicros()));
        json.name("attempts").value(message.attempts()).name("out").value(message.isInFlight());
        json.name("possibly_run").value(message.mayHaveRun() || message.isInFlight());
        if (message.attempts() > 0) {
            json.name("last_endpoint").value(message.lastHost());
        }
        if (message.finalStatus() != null) {
            finalStatus(json, message.finalStatus());
        }
        if (!message.attachedSubmitters().isEmpty()) {
            json.name("owed_also_to").beginArray();
            for (PendingMessage.Submitter submitter : message.attachedSubmitters()) {
                json.value(submitter.front() + ' ' + submitter.id());
            }
            json.endArray();
        }
        json.name("body").value(Base64.getEncoder().encodeToString(submission.body()));
    }

    private static void finalStatus(JsonWriter json, FinalStatus status) throws IOException {
        json.name("end").value(status.kind().name().toLowerCase());
        if (!status.detail().isEmpty()) {
            json.name("detail").value(status.detail());
        }
    }

    private static String instant(long wallMicros) {
        return Instant.ofEpochMilli(wallMicros / 1000).toString();
    }
}
