package lilaclever.conf;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Parses line-based configuration files: the operator's file and rehearsal scenarios. A section title stands in
 * brackets, a key and its value on one line, and {@code #} begins a comment line. A line that begins with white space
 * continues the previous value, as in the files of classic daemons. Callers request each key by name;
 * {@link #rejectUnknown} reports the keys that no caller has requested. Error messages name file, line and key.
 */
public final class ConfFile {
    private static final int MAX_LINE_LENGTH = 8192, MAX_LINES = 100_000;

    /** A value and the line of its key. */
    private record Entry(int line, String value) {}

    private final String name;
    private final Map<String, Section> sections = new LinkedHashMap<>();

    private ConfFile(String name) {
        this.name = name;
    }

    /** Returns a file without any setting. */
    public static ConfFile empty() {
        return new ConfFile("(no file)");
    }

    public static ConfFile read(Path path) throws ConfigurationException {
        try {
            return parse(path.toString(), Files.readAllLines(path));
        } catch (CharacterCodingException e) {
            throw new ConfigurationException("--conf", path + " is not UTF-8");
        } catch (IOException e) {
            throw new ConfigurationException("--conf", path + " can't be read: " + e);
        }
    }

    public static ConfFile parse(String name, List<String> lines) throws ConfigurationException {
        ConfFile file = new ConfFile(name);
        file.parse(lines);
        return file;
    }

    private void parse(List<String> lines) throws ConfigurationException {
        if (lines.size() > MAX_LINES) {
            throw errorAt(MAX_LINES, "", "too many lines");
        }
        Section section = null;
        String key = null;
        for (int index = 0; index < lines.size(); index++) {
            int number = index + 1;
            String rawLine = lines.get(index);
            if (rawLine.length() > MAX_LINE_LENGTH) {
                throw errorAt(number, "", "longer than " + MAX_LINE_LENGTH + " characters");
            }
            String line = rawLine.strip();
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            if (Character.isWhitespace(rawLine.charAt(0))) {
                if (key == null) {
                    throw errorAt(number, "", "continues nothing: a key begins its line without a space");
                }
                section.appendToValue(key, line);
            } else if (line.startsWith("[")) {
                section = addSection(number, line);
                key = null;
            } else {
                if (section == null) {
                    throw errorAt(number, line.split("\\s", 2)[0], "stands before the first [section]");
                }
                key = section.addEntry(number, line);
            }
        }
    }

    private Section addSection(int line, String text) throws ConfigurationException {
        if (!text.matches("\\[[a-z][a-z0-9-]*( [^\\]\\s]+)?\\]")) {
            throw errorAt(line, text, "not a section: [name] or [name which], in small letters");
        }
        String title = text.substring(1, text.length() - 1);
        Section earlier = sections.get(title);
        if (earlier != null) {
            throw errorAt(line, text, "stands here again, first at line " + earlier.line);
        }
        Section created = new Section(title, line);
        sections.put(title, created);
        return created;
    }

    private ConfigurationException errorAt(int line, String key, String problem) {
        return new ConfigurationException(name + ":" + line + (key.isEmpty() ? "" : ": " + key), problem);
    }

    /** Returns the section with this title, or an empty one if the file has none. */
    public Section section(String title) {
        return sections.getOrDefault(title, new Section(title, 0));
    }

    /** Returns the sections {@code [kind qualifier]}, in file order. */
    public List<Section> sections(String kind) {
        return sections.values().stream()
                .filter(s -> s.title.startsWith(kind + " "))
                .toList();
    }

    /** Rejects unknown sections and keys that no caller has requested; to be called after all settings were read. */
    public void rejectUnknown(Set<String> kinds) throws ConfigurationException {
        for (Section s : sections.values()) {
            String kind = s.title.split(" ")[0];
            if (!kinds.contains(kind)) {
                throw errorAt(s.line, "[" + s.title + "]", "no such section" + suggestion(kind, kinds));
            }
            for (Map.Entry<String, Entry> e : s.entries.entrySet()) {
                if (!s.requestedKeys.contains(e.getKey())) {
                    throw errorAt(
                            e.getValue().line(),
                            s.title + "." + e.getKey(),
                            "no such key" + suggestion(e.getKey(), s.requestedKeys));
                }
            }
        }
    }

    /** Returns a hint for an error message: the most similar known word, or all known words if none is similar. */
    public static String suggestion(String word, Set<String> known) {
        String nearest = null;
        int bestDistance = Math.max(2, word.length() / 2) + 1;
        for (String candidate : known) {
            int distance = editDistance(word, candidate);
            if (distance < bestDistance) {
                bestDistance = distance;
                nearest = candidate;
            }
        }
        return nearest == null
                ? "; known are " + String.join(", ", new java.util.TreeSet<>(known))
                : "; is " + nearest + " meant?";
    }

    /** Returns the Levenshtein distance. */
    private static int editDistance(String a, String b) {
        int[] previousRow = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previousRow[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] row = new int[b.length() + 1];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitution = previousRow[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(substitution, 1 + Math.min(previousRow[j], row[j - 1]));
            }
            previousRow = row;
        }
        return previousRow[b.length()];
    }

    /** One section. The getters take the default value of a key that is absent. */
    public final class Section {
        private final String title;
        private final int line;
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        private final Set<String> requestedKeys = new HashSet<>();

        private Section(String title, int line) {
            this.title = title;
            this.line = line;
        }

        /** Returns the second word of {@code [kind qualifier]}, or an empty string. */
        public String qualifier() {
            return title.contains(" ") ? title.split(" ")[1] : "";
        }

        /** Returns whether the file has this section. */
        public boolean isPresent() {
            return line > 0;
        }

        private String addEntry(int number, String text) throws ConfigurationException {
            String[] parts = text.split("\\s+", 2);
            if (!parts[0].matches("[a-z][a-z0-9-]*")) {
                throw errorAt(number, parts[0], "not a key: small letters, digits and '-'");
            }
            if (parts.length < 2) {
                throw errorAt(number, title + "." + parts[0], "has no value");
            }
            Entry earlier = entries.get(parts[0]);
            if (earlier != null) {
                throw errorAt(number, title + "." + parts[0], "stands here again, first at line " + earlier.line());
            }
            entries.put(parts[0], new Entry(number, parts[1]));
            return parts[0];
        }

        private void appendToValue(String key, String continuation) {
            Entry e = entries.get(key);
            entries.put(key, new Entry(e.line(), e.value() + ' ' + continuation));
        }

        /** Creates an error about this key, with the line of the key, or of the section if the key is absent. */
        public ConfigurationException error(String key, String problem) {
            Entry e = entries.get(key);
            return errorAt(e == null ? line : e.line(), title + "." + key, problem);
        }

        /** Returns whether the file sets the key. */
        public boolean has(String key) {
            return entries.containsKey(key);
        }

        private String value(String key) {
            requestedKeys.add(key);
            Entry e = entries.get(key);
            return e == null ? null : e.value();
        }

        /** Returns the text; {@code defaultValue} may be null. */
        public String text(String key, String defaultValue) {
            String value = value(key);
            return value == null ? defaultValue : value;
        }

        /** Returns the words, which are separated by white space or commas. */
        public List<String> words(String key) {
            String value = value(key);
            return value == null ? List.of() : new ArrayList<>(List.of(value.split("[\\s,]+")));
        }

        /** Returns the constant whose name, in lower case with '-' for '_', is the value. */
        public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) throws ConfigurationException {
            String value = value(key);
            if (value == null) {
                return defaultValue;
            }
            List<String> names = new ArrayList<>();
            for (E constant : type.getEnumConstants()) {
                String n = constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
                if (n.equals(value)) {
                    return constant;
                }
                names.add(n);
            }
            throw error(key, "one of " + String.join(", ", names) + ", not " + value);
        }

        /** Reads {@code yes} or {@code no}. */
        public boolean flag(String key, boolean defaultValue) throws ConfigurationException {
            String value = value(key);
            if (value == null) {
                return defaultValue;
            }
            if (!value.equals("yes") && !value.equals("no")) {
                throw error(key, "yes or no, not " + value);
            }
            return value.equals("yes");
        }

        /** Reads a whole number within bounds. */
        public long integer(String key, long defaultValue, long min, long max) throws ConfigurationException {
            String value = value(key);
            if (value == null) {
                return defaultValue;
            }
            try {
                long number = Long.parseLong(value);
                if (number >= min && number <= max) {
                    return number;
                }
            } catch (NumberFormatException e) {
                // reported below
            }
            throw error(key, "a whole number from " + min + " to " + max + ", not " + value);
        }

        /** Reads a number with or without decimals, within bounds. */
        public double decimal(String key, double defaultValue, double min, double max) throws ConfigurationException {
            String value = value(key);
            return value == null ? defaultValue : decimal(key, value, "", min, max);
        }

        /** Reads two numbers, minimum and maximum; a single number counts for both. */
        public double[] range(String key, double defaultMin, double defaultMax, double min, double max)
                throws ConfigurationException {
            List<String> words = words(key);
            if (words.isEmpty()) {
                return new double[] {defaultMin, defaultMax};
            }
            double[] range = {
                decimal(key, words.get(0), "", min, max), decimal(key, words.get(words.size() - 1), "", min, max)
            };
            if (words.size() > 2 || range[0] > range[1]) {
                throw error(key, "one number, or the least and the most, not " + String.join(" ", words));
            }
            return range;
        }

        /** Reads a percentage such as 25% as a fraction, from 0 to {@code max}; 1 is 100%. */
        public double share(String key, double defaultValue, double max) throws ConfigurationException {
            String value = value(key);
            return value == null ? defaultValue : share(key, value, max);
        }

        /** Parses one word of a value as {@link #share(String, double, double)} does. */
        public double share(String key, String word, double max) throws ConfigurationException {
            return decimal(key, word, "%", 0, max * 100) / 100;
        }

        private double decimal(String key, String value, String unit, double min, double max)
                throws ConfigurationException {
            if (value.matches("\\d{1,12}(\\.\\d{1,9})?" + unit)) {
                double number = Double.parseDouble(value.substring(0, value.length() - unit.length()));
                if (number >= min && number <= max) {
                    return number;
                }
            }
            throw error(
                    key,
                    "from " + withoutExponent(min) + unit + " to " + withoutExponent(max) + unit + ", not " + value);
        }

        private static String withoutExponent(double number) {
            return new java.math.BigDecimal(Double.toString(number))
                    .stripTrailingZeros()
                    .toPlainString();
        }

        /** Reads two durations, minimum and maximum; a single one counts for both. */
        public long[] durationRangeMicros(
                String key, long defaultMinMicros, long defaultMaxMicros, long minMicros, long maxMicros)
                throws ConfigurationException {
            List<String> words = words(key);
            if (words.isEmpty()) {
                return new long[] {defaultMinMicros, defaultMaxMicros};
            }
            long[] rangeMicros = {
                durationMicros(key, words.get(0), minMicros, maxMicros),
                durationMicros(key, words.get(words.size() - 1), minMicros, maxMicros)
            };
            if (words.size() > 2 || rangeMicros[0] > rangeMicros[1]) {
                throw error(key, "one time, or the least and the most, not " + String.join(" ", words));
            }
            return rangeMicros;
        }

        /** Reads a duration with its unit (us, ms, s, m, h, d), in microseconds, within bounds. */
        public long durationMicros(String key, long defaultMicros, long minMicros, long maxMicros)
                throws ConfigurationException {
            String value = value(key);
            return value == null ? defaultMicros : durationMicros(key, value, minMicros, maxMicros);
        }

        /** Parses one word of a value as {@link #durationMicros(String, long, long, long)} does. */
        public long durationMicros(String key, String value, long minMicros, long maxMicros)
                throws ConfigurationException {
            java.util.regex.Matcher m = java.util.regex.Pattern.compile("(\\d{1,12}(?:\\.\\d{1,6})?) ?(us|ms|s|m|h|d)")
                    .matcher(value);
            if (!m.matches()) {
                throw error(key, "a time with its unit (us, ms, s, m, h or d), not " + value);
            }
            double unitMicros = switch (m.group(2)) {
                case "us" -> 1;
                case "ms" -> 1e3;
                case "s" -> 1e6;
                case "m" -> 60e6;
                case "h" -> 3600e6;
                default -> 86_400e6;
            };
            double micros = Double.parseDouble(m.group(1)) * unitMicros;
            if (micros < minMicros || micros > maxMicros) {
                throw error(key, "from " + minMicros / 1000.0 + " ms to " + maxMicros / 1000.0 + " ms, not " + value);
            }
            return (long) micros;
        }

        /** Reads a size with its unit (B, KiB, MiB, GiB), in bytes, within bounds. */
        public long sizeBytes(String key, long defaultBytes, long minBytes, long maxBytes)
                throws ConfigurationException {
            String value = value(key);
            if (value == null) {
                return defaultBytes;
            }
            java.util.regex.Matcher m = java.util.regex.Pattern.compile("(\\d{1,12}(?:\\.\\d{1,6})?) ?(B|KiB|MiB|GiB)")
                    .matcher(value);
            if (!m.matches()) {
                throw error(key, "a size with its unit (B, KiB, MiB or GiB), not " + value);
            }
            double unitBytes = Math.pow(1024, List.of("B", "KiB", "MiB", "GiB").indexOf(m.group(2)));
            double bytes = Double.parseDouble(m.group(1)) * unitBytes;
            if (bytes < minBytes || bytes > maxBytes) {
                throw error(key, "from " + minBytes + " B to " + maxBytes + " B, not " + value);
            }
            return (long) bytes;
        }
    }
}
