package lilaclever.lab.scenario;

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
        List<String> all = new ArrayList<>(lines);
        for (Setting s : settings) {
            int section = all.indexOf('[' + s.section() + ']');
            if (section < 0) {
                all.add('[' + s.section() + ']');
                section = all.size() - 1;
            }
            remove(all, section, s.key());
            all.add(section + 1, s.key() + ' ' + s.value());
        }
        return all;
    }

    /** Removes the key from the section, with its continuation lines. */
    private static void remove(List<String> all, int section, String key) {
        for (int i = section + 1; i < all.size() && !all.get(i).startsWith("["); i++) {
            if (all.get(i).matches(Pattern.quote(key) + "(\\s.*)?")) {
                all.remove(i);
                while (i < all.size()
                        && !all.get(i).isBlank()
                        && Character.isWhitespace(all.get(i).charAt(0))) {
                    all.remove(i);
                }
                return;
            }
        }
    }
}
