package lilaclever.simulation.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lilaclever.conf.ConfigurationException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Shipped scenarios are valid, and each error is reported with its line and key. */
class ScenarioReaderTest {
    @Test
    void shippedScenariosAreValid() throws ConfigurationException {
        assertTrue(ScenarioReader.SHIPPED.size() >= 8);
        for (String name : ScenarioReader.SHIPPED) {
            Scenario scenario = ScenarioReader.read(name);
            assertEquals(name, scenario.name());
            assertFalse(scenario.about().isEmpty(), name);
            assertTrue(scenario.traffic().lengthMicros() <= 600_000_000, name + " ends within ten minutes");
        }
    }

    @Test
    void emptyFileGivesTheDefaults() throws ConfigurationException {
        Scenario scenario = ScenarioReader.parse("f", List.of());
        assertEquals(
                List.of("lens-lab", "supplier"),
                scenario.kinds().stream().map(k -> k.name()).toList());
        assertEquals(
                List.of("lens-order", "status-update", "payment"),
                scenario.classes().stream().map(c -> c.name()).toList());
        assertEquals(3, scenario.fleet().forwarders());
        assertEquals(0.8, scenario.traffic().shape().get(0).load());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[fleet]/forwarders 0            | f:2: fleet.forwarders: a whole number from 1 to 10000, not 0",
                "[flet]                          | f:1: [flet]: no such section; is fleet meant?",
                "[traffic]/load 45               | f:2: traffic.load: from 0% to 10000%, not 45",
                "[traffic]/load 0s 45% 0s 50%    | f:2: traffic.load: times must grow: 0s",
                "[traffic]/load 5s 45%           | f:2: traffic.load: one share, or times and shares in turn from 0s "
                        + "on, such as 0s 45% 30s 110%",
                "[event e]/at 5s                 | f:1: event e.what: missing: one of restart, drain, silent, "
                        + "failing, shut, down, slow, lowered, hot, deaf",
                "[event e]/what silent           | f:1: event e.at: missing: a time, or the least and the most",
                "[event e]/what silent/at 9s 5s  | f:3: event e.at: one time, or the least and the most, not 9s 5s",
                "[event e]/what silent/at 5s/kind lab | f:4: event e.kind: no such kind of partner: lab",
                "[event e]/what explode/at 5s    | f:2: event e.what: one of restart, drain, silent, failing, shut, "
                        + "down, slow, lowered, hot, deaf, not explode",
                "[kind a]/share 50%              | f:2: kind a.share: the shares of all kinds are 50.0% together, not "
                        + "100%",
                "[class a]/aim 30s/deadline 20s  | f:2: class a.aim: is after the deadline",
                "[fleet]/cold-form 1%            | f:2: fleet.cold-form: no such key; is cold-from meant?"
            })
    void errorsNameFileLineAndKey(String text, String message) {
        assertEquals(
                message,
                assertThrows(ConfigurationException.class, () -> ScenarioReader.parse("f", List.of(text.split("/"))))
                        .getMessage());
    }

    @Test
    void unknownNameSuggestsTheNearest() {
        assertTrue(assertThrows(ConfigurationException.class, () -> ScenarioReader.read("mondy"))
                .getMessage()
                .contains("is monday meant?"));
    }

    /** Settings on the command line override those of the file, are checked in the same way and change nothing else. */
    @Test
    void settingsOverrideTheFile() throws ConfigurationException {
        Scenario scenario = ScenarioReader.read(
                "month-end",
                List.of(
                        Overrides.Setting.of("fleet.forwarders=8"),
                        Overrides.Setting.of("event one-restart.part=10%")));
        assertEquals(8, scenario.fleet().forwarders());
        assertEquals(0.1, scenario.events().get(0).share());
        assertEquals(
                ScenarioReader.read("month-end").traffic().lengthMicros(),
                scenario.traffic().lengthMicros());
        assertTrue(assertThrows(
                        ConfigurationException.class,
                        () -> ScenarioReader.read("quiet", List.of(Overrides.Setting.of("fleet.forwarder=8"))))
                .getMessage()
                .contains("is forwarders meant?"));
        assertThrows(ConfigurationException.class, () -> Overrides.Setting.of("forwarders=8"));
    }
}
