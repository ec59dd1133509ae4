package lilaclever.protocol.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import lilaclever.DecisionModule.Presence;
import lilaclever.protocol.http.EndpointList.Endpoint;
import lilaclever.protocol.http.EndpointList.Fault;
import lilaclever.protocol.http.EndpointList.UnreadableListException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Reading of valid, faulty and truncated endpoint lists. */
class EndpointListTest {
    private static final String LIST = """
            {"index":41,"snapshot":true,"endpoints":[
              {"name":"e1","address":"10.1.0.18:3000","zone":"a","type":"m2","group":3,"status":"active","weight":0.5,
               "since_ms":1700000000000},
              {"name":"e2","address":"[::1]:3000","zone":"b","type":"m1","group":4,"status":"leaving"},
              {"name":"e3","address":"10.1.0.20:3000","zone":"a","type":"m2","group":3,"status":"left","more":[{}]}]}
            """;
    private static final List<Endpoint> ENDPOINTS = List.of(
            new Endpoint("e1", "10.1.0.18:3000", 3, "m2", "a", Presence.ACTIVE, 0.5, 1_700_000_000_000L),
            new Endpoint("e2", "[::1]:3000", 4, "m1", "b", Presence.LEAVING, 1, 0),
            new Endpoint("e3", "10.1.0.20:3000", 3, "m2", "a", Presence.LEFT, 1, 0));

    private static EndpointList read(String text) throws UnreadableListException {
        return EndpointListReader.read(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String replaced(String part, String by) {
        assertTrue(LIST.contains(part), part);
        return LIST.replace(part, by);
    }

    @Test
    void aValidListIsReadInFull() throws Exception {
        EndpointList expected = new EndpointList(41, true, false, ENDPOINTS, Set.of(), List.of());
        assertEquals(expected, read(LIST));
        assertEquals(expected, EndpointList.read(JsonParser.parseString(LIST).getAsJsonObject()));
        assertEquals(expected, read(LIST.replace("\n", "\r\n    ")), "indented");
    }

    /** Of a truncated list all complete entries count, and it is never taken for a whole one. */
    @Test
    void aTruncatedListIsReadAsFarAsItGoes() {
        byte[] bytes = LIST.strip().getBytes(StandardCharsets.UTF_8);
        int endpointsRead = 0;
        for (int length = 0; length < bytes.length; length++) {
            try {
                EndpointList truncated = EndpointListReader.read(Arrays.copyOf(bytes, length));
                assertTrue(truncated.isTruncated(), "after " + length);
                assertTrue(truncated.endpoints().size() >= endpointsRead);
                endpointsRead = truncated.endpoints().size();
                assertEquals(ENDPOINTS.subList(0, endpointsRead), truncated.endpoints());
                assertFalse(truncated.faults().isEmpty());
            } catch (UnreadableListException e) {
                assertEquals(0, endpointsRead, "after " + length);
            }
        }
        assertEquals(ENDPOINTS.size(), endpointsRead);
    }

    /** Whatever bytes are corrupted, reading returns a list or throws the one declared exception. */
    @Test
    void corruptBytesCauseNoOtherException() {
        SplittableRandom random = new SplittableRandom(35);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = LIST.getBytes(StandardCharsets.UTF_8);
            for (int corruptions = random.nextInt(1, 4); corruptions > 0; corruptions--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                EndpointList list = EndpointListReader.read(bytes);
                assertTrue(list.isTruncated()
                        || list.endpoints().size() + list.unusable().size() <= ENDPOINTS.size());
            } catch (UnreadableListException e) {
                assertFalse(e.getMessage().isEmpty());
            }
        }
    }

    /** A fault that leaves an entry's meaning open makes it unusable; elsewhere a default applies. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '#',
            value = {
                "\"group\":4 | \"group\":4.5 | group | can't be read: 4.5 | false",
                "\"group\":4 | \"group\":99999999999 | group | can't be read: 99999999999 | false",
                "\"group\":4 | \"group\":true | group | can't be read: true | false",
                "\"address\":\"[::1]:3000\" | \"address\":\"[1::2::]:3\" | address | can't be read: [1::2::]:3 | false",
                "\"address\":\"[::1]:3000\" | \"address\":\"10.1.0.18\" | address | can't be read: 10.1.0.18 | false",
                "\"address\":\"[::1]:3000\" | \"address\":\"10.1.0.9:0\" | address | can't be read: 10.1.0.9:0 | false",
                "\"address\":\"[::1]:3000\" | \"address\":\"10.1.0:80\" | address | can't be read: 10.1.0:80 | false",
                "\"status\":\"leaving\" | \"status\":\"Leaving\" | status | can't be read: Leaving | false",
                "\"status\":\"leaving\" | \"status\":[\"leaving\"] | status | neither text nor number | false",
                "\"zone\":\"b\" | \"zone\":null | zone | neither text nor number; the default counts | true",
                "\"type\":\"m1\" | \"kind\":\"m1\" | type | missing; the default counts | true",
                "\"group\":4 | \"group\":4,\"weight\":-1 | weight | can't be read: -1; the default counts | true",
                "\"group\":4 | \"group\":4,\"weight\":\"NaN\" | weight | can't be read: NaN; the default counts | true",
                "\"group\":4 | \"group\":4,\"since_ms\":-5 | since_ms | can't be read: -5; the default counts | true",
            })
    void aFaultIsReportedWithItsEntryAndKey(String good, String bad, String key, String problem, boolean isUsable)
            throws Exception {
        EndpointList list = read(replaced(good, bad));
        assertEquals(List.of(new Fault(2, "e2", key, problem)), list.faults());
        assertEquals(isUsable ? 3 : 2, list.endpoints().size());
        assertEquals(isUsable ? Set.of() : Set.of("e2"), list.unusable());
        assertFalse(list.isTruncated());
        assertEquals(41, list.version());
        IllegalArgumentException strict = assertThrows(
                IllegalArgumentException.class,
                () -> EndpointList.read(
                        JsonParser.parseString(replaced(good, bad)).getAsJsonObject()),
                "faults in a configuration are errors");
        assertTrue(strict.getMessage().startsWith("entry 2 (e2): " + key + ": "), strict.getMessage());
    }

    @Test
    void aRepeatedKeyWithDifferentValuesIsAFault() throws Exception {
        EndpointList list = read(replaced("\"status\":\"leaving\"", "\"status\":\"leaving\",\"status\":\"active\""));
        assertEquals(List.of(new Fault(2, "e2", "status", "comes twice")), list.faults());
        assertEquals(Set.of("e2"), list.unusable());
        assertEquals(
                List.of(),
                read(replaced("\"group\":4", "\"group\":4,\"group\":4")).faults());
    }

    @ParameterizedTest
    @ValueSource(strings = {"\"name\":7.5e", "\"name\":null", "\"name\":\"\"", "\"nom\":\"e2\""})
    void anEntryWithoutANameIsUnusable(String name) throws Exception {
        EndpointList list = read(replaced("\"name\":\"e2\"", name));
        if (name.endsWith("e")) { // not a number, so nothing after it can be parsed
            assertTrue(list.isTruncated());
            assertEquals(List.of(ENDPOINTS.get(0)), list.endpoints());
        } else {
            assertEquals(List.of(ENDPOINTS.get(0), ENDPOINTS.get(2)), list.endpoints());
            assertEquals("entry 2", list.faults().get(0).toString().split(":")[0]);
        }
        assertEquals(Set.of(), list.unusable());
    }

    /** The reader doesn't decide which of the two entries applies. */
    @Test
    void aDuplicateNameIsReportedAndBothEntriesAreReturned() throws Exception {
        EndpointList list = read(replaced("\"name\":\"e2\"", "\"name\":\"e1\""));
        assertEquals(List.of(new Fault(2, "e1", "name", "listed twice")), list.faults());
        assertEquals(
                List.of(Presence.ACTIVE, Presence.LEAVING, Presence.LEFT),
                list.endpoints().stream().map(Endpoint::presence).toList());
    }

    @Test
    void anInvalidEntryIsReportedByItsNumber() throws Exception {
        EndpointList list = read(replaced("{\"name\":\"e2\"", "7,[[]],{\"name\":\"e2\""));
        assertEquals(ENDPOINTS, list.endpoints());
        assertEquals(
                List.of(new Fault(2, null, null, "not an object"), new Fault(3, null, null, "not an object")),
                list.faults());
    }

    /** A list without its entries is no proof that an endpoint has left. */
    @ParameterizedTest
    @ValueSource(strings = {"{\"index\":1,\"snapshot\":true}", "{\"index\":1,\"snapshot\":true,\"endpoints\":{}}"})
    void aListWithoutEntriesIsTruncated(String text) throws Exception {
        EndpointList list = read(text);
        assertTrue(list.isTruncated());
        assertEquals("endpoints", list.faults().get(0).key());
    }

    @ParameterizedTest
    @ValueSource(strings = {"\"index\":\"many\"", "\"index\":-3", "\"index\":1.5", "\"version\":41", "\"index\":null"})
    void aListWithoutAnIndexHasNoVersion(String index) throws Exception {
        EndpointList list = read(replaced("\"index\":41", index));
        assertEquals(EndpointList.NO_VERSION, list.version());
        assertEquals("index", list.faults().get(0).key());
        assertEquals(ENDPOINTS, list.endpoints());
    }

    @ParameterizedTest
    @ValueSource(strings = {"\"snapshot\":\"yes\"", "\"snapshot\":0", "\"x\":true"})
    void aListWithoutASnapshotFlagIsTakenAsChanges(String whole) throws Exception {
        EndpointList list = read(replaced("\"snapshot\":true", whole));
        assertFalse(list.isWhole());
        assertEquals("snapshot", list.faults().get(0).key());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "null", "<html>", "7"})
    void textThatIsNotAListIsRejected(String text) {
        assertThrows(UnreadableListException.class, () -> read(text));
    }

    /** Guards against a list whose nesting takes memory for each level without a limit. */
    @Test
    void excessiveNestingTruncatesTheList() throws Exception {
        EndpointList list = read(replaced("\"more\":[{}]", "\"more\":" + "[".repeat(2_000_000)));
        assertTrue(list.isTruncated());
        assertEquals(ENDPOINTS.subList(0, 2), list.endpoints());
    }

    @Test
    void dataAfterTheListIsReported() throws Exception {
        EndpointList list = read(LIST + "{}");
        assertEquals(ENDPOINTS, list.endpoints());
        assertEquals("list: something follows its end", list.faults().get(0).toString());
        assertFalse(list.isTruncated());
    }
}
