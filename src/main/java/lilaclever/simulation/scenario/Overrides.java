package lilaclever.simulation.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lilaclever.conf.ConfigurationException;

/**
 * Settings on the command line that override those of a scenario: {@code SECTION.KEY=VALUE}, such as {@code
 * fleet.forwarders=8} or {@code "kind supplier.headroom=1 1.2"}. They are checked as if they stood in the file.
 */
public final class Overrides {
    private static final Pattern SETTING = Pattern.compile("([a-z-]+(?: [A-Za-z0-9_-]+)?)\\.([a-z][a-z0-9-]*)=(.*)");

    private Overrides() {}

    /** A setting that overrides one of the file. */
    public record Setting(String section, String key, String value) {
        /** Reads {@code SECTION.KEY=VALUE}. */
        public static Setting of(String text) throws ConfigurationException {
            Matcher m = SETTING.matcher(text);
            if (!m.matches()) {
                throw new ConfigurationException("--set", "SECTION.KEY=VALUE, such as fleet.forwarders=8, not " + text);
            }
            return new Setting(m.group(1), m.group(2), m.group(3).strip());
        }
    }

    /** Returns the lines of a scenario with the settings applied. */
    static List<String> apply(List<String> lines, List<Setting> settings) {
        List<String> result = new ArrayList<>(lines);
        for (Setting s : settings) {
            int section = result.indexOf('[' + s.section() + ']');
            if (section < 0) {
                result.add('[' + s.section() + ']');
                section = result.size() - 1;
            }
            remove(result, section, s.key());
            result.add(section + 1, s.key() + ' ' + s.value());
        }
        return result;
    }

    /** Removes the key from the section, with its continuation lines. */
    private static void remove(List<String> result, int section, String key) {
        for (int i = section + 1; i < result.size() && !result.get(i).startsWith("["); i++) {
            if (result.get(i).matches(Pattern.quote(key) + "(\\s.*)?")) {
                result.remove(i);
                while (i < result.size()
                        && !result.get(i).isBlank()
                        && Character.isWhitespace(result.get(i).charAt(0))) {
                    result.remove(i);
                }
                return;
            }
        }
    }
}
