package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import lilaclever.conf.ConfFile;
import lilaclever.conf.ConfigurationException;
import lilaclever.journal.Durability;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The operator's file: every error names file, line and key. */
class OperatorSettingsTest {
    private static Config config() throws ConfigurationException {
        return ForwarderSetup.config("127.0.0.1:9", Path.of("nowhere"), null);
    }

    private static OperatorSettings parse(String text) throws ConfigurationException {
        return OperatorSettings.of(ConfFile.parse("f", text.lines().toList()), config());
    }

    @Test
    void missingSettingsHaveDefaults() throws ConfigurationException {
        assertEquals(OperatorSettings.defaults(config()), parse("# nothing\n\n[journal]\n"));
        assertEquals(
                Durability.NONE.mode(),
                OperatorSettings.defaults(config()).journal().durability().mode());
    }

    /** The shipped file contains the default values. */
    @Test
    void shippedFileIsValidAndContainsTheDefaults() throws Exception {
        assertEquals(
                OperatorSettings.defaults(config()),
                OperatorSettings.read(Path.of("deploy/lilaclever.conf"), config()));
    }

    @Test
    void valuesMayContinueOnTheNextLine() throws ConfigurationException {
        OperatorSettings read =
                parse("[journal]\ndurability\tinterval # no: a comment has its own line".replaceAll(" #.*", "")
                        + "\ninterval 250\n  ms\nremember 90s\n");
        assertEquals(
                new Durability(Durability.Mode.INTERVAL, 250_000),
                read.journal().durability());
        assertEquals(90_000_000, read.journal().rememberMicros());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "durability group              | f:1: durability: stands before the first [section]",
                "[journal]/durabilty group     | f:2: journal.durabilty: no such key; is durability meant?",
                "[jurnal]/durability group     | f:1: [jurnal]: no such section; is journal meant?",
                "[zzz]                         | f:1: [zzz]: no such section; known are hl7, hl7-class, "
                        + "hl7-destination, identity, journal, log, mllp, practice",
                "[journal]/durability often    | f:2: journal.durability: one of none, interval, group, not often",
                "[journal]/durability          | f:2: journal.durability: has no value",
                "[journal]/remember 5          | f:2: journal.remember: a time with its unit (us, ms, s, m, h or d), "
                        + "not 5",
                "[journal]/remember 900d       | f:2: journal.remember: from 1000.0 ms to 8.64E8 ms, not 900d",
                "[journal]/remember 2h/remember 3h | f:3: journal.remember: stands here again, first at line 2",
                "[journal]//[journal]          | f:3: [journal]: stands here again, first at line 1",
                "[journal]/interval 5ms        | f:2: journal.interval: needs durability interval, not none",
                "[Journal]                     | f:1: [Journal]: not a section: [name] or [name which], in small "
                        + "letters",
                "[journal]/a=b                 | f:2: a=b: not a key: small letters, digits and '-'",
                "[journal]/~more               | f:2: continues nothing: a key begins its line without a space"
            })
    void errorsNameFileLineAndKey(String text, String message) {
        ConfigurationException e = assertThrows(
                ConfigurationException.class,
                () -> parse(text.replace('/', '\n').replace('~', ' ')));
        assertEquals(message, e.getMessage());
    }

    @Test
    void fileThatIsNotUtf8IsRejected(@org.junit.jupiter.api.io.TempDir Path folder) throws Exception {
        Path file = Files.write(folder.resolve("x"), new byte[] {(byte) 0xc3, 0x28});
        assertEquals(
                List.of("--conf: " + file + " is not UTF-8"),
                List.of(assertThrows(ConfigurationException.class, () -> OperatorSettings.read(file, config()))
                        .getMessage()));
    }
}
