package lilaclever.program;

import java.io.IOException;
import java.io.InputStream;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import lilaclever.conf.ConfigurationException;
import lilaclever.log.Logs;
import lilaclever.routing.EndpointMembership.Departure;

/**
 * Reads and writes the file {@code departures} in the state folder, the endpoints that discovery reported as removed,
 * oldest first. A line has the endpoint's name, the agent's address, the index of the endpoint list and the wall-clock
 * time in microseconds, separated by tabs; name and address are percent-encoded. If not all fit, the oldest are left
 * out.
 */
final class DepartureFile {
    /** Disk space for the file and the new one that is written beside it. */
    public static final long RESERVED_BYTES = 96 * 1024;

    static final String FILE = "departures";
    /** Size limit of the file: about 900 endpoints. */
    static final int MAX_FILE_BYTES = (int) RESERVED_BYTES / 2;
    /** Size limit of a line, with its line feed. */
    static final int MAX_LINE_BYTES = 512;

    private static final int FIELDS = 4;

    private DepartureFile() {}

    /**
     * Reads the file in the folder; damaged lines are logged and ignored.
     *
     * @throws ConfigurationException if the file exists but can't be read: a start without it could send to removed
     *     endpoints
     */
    static List<Departure> read(Path state) throws ConfigurationException {
        Path file = state.resolve(FILE);
        try (InputStream in = Files.newInputStream(file)) {
            byte[] bytes = in.readNBytes(MAX_FILE_BYTES + 1);
            if (bytes.length > MAX_FILE_BYTES) {
                logDamage(file, "is longer than " + MAX_FILE_BYTES + " bytes; the rest is ignored");
            }
            return parse(file, new String(bytes, StandardCharsets.US_ASCII));
        } catch (NoSuchFileException e) {
            return List.of();
        } catch (IOException e) {
            throw new ConfigurationException("state", FILE + " can't be read: " + e);
        }
    }

    private static List<Departure> parse(Path file, String text) {
        List<Departure> departures = new ArrayList<>();
        int number = 1;
        int end;
        for (int from = 0; from < text.length(); from = end + 1, number++) {
            end = text.indexOf('\n', from);
            if (end < 0) {
                logDamage(file, "line " + number + " is not terminated");
                break;
            }
            try {
                departures.add(departure(text.substring(from, end)));
            } catch (IllegalArgumentException e) {
                logDamage(file, "line " + number + " is ignored: " + e.getMessage());
            }
        }
        return departures;
    }

    private static Departure departure(String line) {
        String[] fields = line.split("\t", -1);
        if (fields.length != FIELDS || fields[0].isEmpty() || fields[1].isEmpty()) {
            throw new IllegalArgumentException("expected a name, an agent, an index and a time");
        }
        return new Departure(
                decoded(fields[0]), decoded(fields[1]), Long.parseLong(fields[2]), Long.parseLong(fields[3]));
    }

    private static void logDamage(Path file, String problem) {
        Logs.warn("", "departures-damaged", file + " " + problem);
    }

    /** Replaces the file in the folder, with the size limit {@link #MAX_FILE_BYTES}. */
    static void write(Path state, List<Departure> departures) throws IOException {
        write(state, departures, MAX_FILE_BYTES);
    }

    /**
     * Replaces the file in the folder, with a size limit. Lines that are too long are omitted, and the oldest of the
     * others if not all fit.
     */
    static void write(Path state, List<Departure> departures, long maxBytes) throws IOException {
        List<String> lines = new ArrayList<>(departures.size());
        int bytes = 0;
        int omitted = 0;
        for (int i = departures.size() - 1; i >= 0; i--) {
            String line = line(departures.get(i));
            boolean fits = line.length() <= MAX_LINE_BYTES && bytes + line.length() <= maxBytes;
            if (fits) {
                bytes += line.length();
                lines.add(line);
            } else {
                omitted++;
            }
        }
        if (omitted > 0) {
            Logs.warn("", "departures-too-many", omitted + " endpoints that have left do not fit into " + FILE);
        }
        Collections.reverse(lines);
        Config.replaceStateFile(state, FILE, String.join("", lines));
    }

    private static String line(Departure departure) {
        return encoded(departure.name())
                + '\t'
                + encoded(departure.agent())
                + '\t'
                + departure.index()
                + '\t'
                + departure.wallMicros()
                + '\n';
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static String decoded(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
