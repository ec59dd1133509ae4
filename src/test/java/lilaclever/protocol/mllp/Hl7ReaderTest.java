package lilaclever.protocol.mllp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.DecisionModule.KeyScope;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.RepeatSafety;
import lilaclever.protocol.mllp.Acknowledgements.Code;
import lilaclever.protocol.mllp.MllpSettings.Field;
import lilaclever.routing.FinalStatus;
import lilaclever.routing.MessageClasses;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Reading of messages, faults with the location of the error, and acknowledgements. */
class Hl7ReaderTest {
    private static final String GOOD = "MSH|^~\\&|APP|FAC|LAB|LF|20260101120000||ORM^O01|M1|P|2.5|||AL|AL|CAN|8859/1\r"
            + "PID|1||77\rORC|NW|ORD\\F\\1\rZLC|12.5\r";

    private static MessageClass messageClass(long deadlineMicros, RepeatSafety repeat) {
        return new MessageClass(1, deadlineMicros, 1, repeat, KeyScope.ALL, 5, false);
    }

    private static Hl7Reader reader(String key, boolean anySender) {
        MessageClasses classes = new MessageClasses(
                List.of("order", "status", "payment"),
                List.of(
                        messageClass(20, RepeatSafety.KEYED),
                        messageClass(6, RepeatSafety.SAFE),
                        messageClass(28, RepeatSafety.UNSAFE)));
        MllpSettings settings = new MllpSettings(
                List.of(),
                Map.of("APP", "north", "APP|OTHER", "south"),
                anySender,
                Map.of("ORM^O01", "order", "DFT", "payment"),
                true,
                Map.of("LAB", 7),
                Field.parse(key),
                Field.parse("ZLC-1"),
                Set.of("P"),
                Set.of("2.3", "2.3.1", "2.4", "2.5", "2.5.1"),
                10,
                1,
                1);
        return new Hl7Reader(settings, classes, () -> 5, () -> 1_000_000);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static Request read(String message, String key) throws Hl7Fault {
        return reader(key, false).read(Header.read(bytes(message)), bytes(message));
    }

    @Test
    void messageFieldsAreMapped() throws Hl7Fault {
        Request r = read(GOOD, "MSH-10");
        assertEquals(
                List.of("north", "M1", 0, 7, 12_500_000L, "id/north/M1", "north.M1"),
                List.of(
                        r.practice(),
                        r.key(),
                        r.messageClass().number(),
                        r.destination(),
                        r.budgetMicros(),
                        r.identity(),
                        r.deliveryKey()));
        assertArrayEquals(bytes(GOOD), r.body());
        assertEquals("south", read(GOOD.replace("FAC", "OTHER"), "MSH-10").practice());
        assertEquals("ORD|1", read(GOOD, "ORC-2").key());
        assertEquals(
                2,
                read(GOOD.replace("ORM^O01", "DFT^P03"), "MSH-10")
                        .messageClass()
                        .number());
        assertEquals(
                2,
                read(GOOD.replace("ORM^O01", "ZZZ^Z99"), "MSH-10")
                        .messageClass()
                        .number()); // class without repeats
        assertEquals(20, read(GOOD.replace("ZLC|12.5", "ZLC|"), "MSH-10").budgetMicros());
        assertEquals(
                4_000_000,
                read(GOOD.replace("12.5", "19700101000005+0000"), "MSH-10").budgetMicros());
        String tabs = GOOD.replace('|', '\t').replace("M1", "x");
        assertThrows(Hl7Fault.class, () -> read(tabs, "MSH-10"));
        assertEquals("north", read(GOOD.replace('|', '#'), "MSH-10").practice());
    }

    /** Keys that are invalid in an HTTP header or the journal become tokens that are equal only for equal values. */
    @Test
    void keysAreBoundedPrintableTokens() throws Hl7Fault {
        String a = read(GOOD.replace("M1", "M 1"), "MSH-10").key();
        assertEquals(a, read(GOOD.replace("M1", "M 1"), "MSH-10").key());
        assertNotEquals(a, read(GOOD.replace("M1", "M  1"), "MSH-10").key());
        assertTrue(a.matches("[!-~]{1,200}"));
        assertTrue(read(GOOD.replace("M1", "M".repeat(190)), "MSH-10")
                .deliveryKey()
                .matches("[!-~]{1,128}"));
    }

    /** Each fault has the right code, segment and field. */
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "PID|1; 100 MSH 0",
                "MSH; 100 MSH 0",
                "MSHAAAAAAAA; 102 MSH 1",
                "MSH|^~|A|B|C|D; 102 MSH 2",
                "MSH|^~\\&|APP; 101 MSH 12",
                "MSH|^~\\&|APP|F|LAB|L|||ORM^O01|1|P|9.9; 203 MSH 12",
                "MSH|^~\\&|APP|F|LAB|L|||ORM^O01|1|T|2.5; 202 MSH 11",
                "MSH|^~\\&|APP|F|LAB|L|||ORM^O01||P|2.5; 101 MSH 10",
                "MSH|^~\\&|APP|F|LAB|L||||1|P|2.5; 101 MSH 9",
                "MSH|^~\\&|WHO|F|LAB|L|||ORM^O01|1|P|2.5; 204 MSH 3",
                "MSH|^~\\&|APP|F|WHAT|L|||ORM^O01|1|P|2.5; 204 MSH 5",
                "MSH|^~\\&|APP|F|LAB|L|||ORM^O01|1|P|2.5||||||KLINGON; 103 MSH 18",
                "MSH|^~\\&|APP|F|LAB|L|||ORM^O01|1|P|2.5~pid|1; 100  0",
                "MSH|^~\\&|APP|F|LAB|L|||ORM^O01|1|P|2.5~PID|\u0000x; 102 PID 0",
                "MSH|^~\\&|APP|F|LAB|L|||ORM^O01|1|P|2.5~MSH|^~\\&|APP; 100 MSH 0",
                "MSH|^~\\&|APP|F|LAB|L|||ORM^O01|1|P|2.5~ZLC|soon; 102 ZLC 1",
                "MSH|^~\\&|APP|F|LAB|L|||ORM^O01|1|P|2.5~PID|1$ORC|1; 100 PID 0"
            })
    void faultNamesCodeSegmentAndField(String message, String place) {
        String text = message.replaceFirst("2\\.5~", "2.5\r").replace('$', '\n');
        Hl7Fault fault = assertThrows(Hl7Fault.class, () -> read(text, "MSH-10"));
        assertEquals(
                place,
                fault.code().number + " " + fault.segment().replace("?", "") + ' ' + fault.field(),
                fault.getMessage());
    }

    private static String ack(byte[] ack) {
        return new String(ack, StandardCharsets.ISO_8859_1)
                .replace('\r', '\n')
                .replaceAll("\\|20\\d{12}[+-]\\d{4}\\|", "|TIME|");
    }

    /** Acknowledgements use the sender's header with its delimiters, and the form of ERR of its version. */
    @Test
    void acknowledgementsFollowTheSendersVersion() throws Hl7Fault {
        Acknowledgements acks = new Acknowledgements("L-");
        Header h = Header.read(bytes(GOOD));
        assertEquals(
                "MSH|^~\\&|LAB|LF|APP|FAC|TIME||ACK^O01^ACK|L-0|P|2.5|||NE|NE|CAN|8859/1\nMSA|CA|M1\n",
                ack(acks.positive(Code.CA, h)));
        Hl7Fault fault = new Hl7Fault(Hl7Fault.Code.REQUIRED_FIELD_MISSING, "PID", 3, "a field | that is needed");
        assertTrue(ack(acks.fault(Code.CR, h, fault))
                .endsWith("MSA|CR|M1|a field \\F\\ that is needed\n"
                        + "ERR||PID^^3|101^Required field missing^HL70357|E||||a field \\F\\ that is needed\n"));
        FinalStatus busy = new FinalStatus(FinalStatus.Kind.REFUSED, 2_500_000, "no room");
        assertTrue(ack(acks.retryLater(Code.AR, h, busy))
                .endsWith("MSA|AR|M1|no room; come again in 2.5 s\n"
                        + "ERR|||207^Application internal error^HL70357|E|come-again|2.5||no room; "
                        + "come again in 2.5 s\n"));
        Header old = Header.read(bytes("MSH#*~\\%#APP#FAC#LAB#LF###ORM*O01#M1#P#2.3\r"));
        assertEquals(
                "MSH#*~\\%#LAB#LF#APP#FAC#TIME##ACK*O01#L-3#P#2.3\nMSA#AE#M1#a field | that is needed\n"
                        + "ERR#PID**3*101%Required field missing%HL70357\n",
                ack(acks.fault(Code.AE, old, fault)).replaceAll("#20\\d{12}[+-]\\d{4}#", "#TIME#"));
    }

    /** Guards against control characters that make the client read one acknowledgement as two. */
    @Test
    void controlCharactersOfTheHeaderAreReplaced() throws Hl7Fault {
        Header h = Header.read(bytes("MSH|^~\\&|A\n\u0000P|F|L|L|||ORM|1|P|2.5\r"));
        String ack = ack(new Acknowledgements("").positive(Code.AA, h));
        assertTrue(ack.contains("A??P"), ack);
    }

    /** Multi-byte characters of the header are returned unchanged. */
    @Test
    void acknowledgementsUseTheSendersCharset() throws Hl7Fault {
        byte[] utf = GOOD.replace("8859/1", "UNICODE UTF-8")
                .replace("FAC", "Qu\u00e9bec")
                .getBytes(StandardCharsets.UTF_8);
        byte[] ack = new Acknowledgements("").positive(Code.AA, Header.read(utf));
        assertTrue(new String(ack, StandardCharsets.UTF_8).contains("|Qu\u00e9bec|"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "BHS|^~\\&\rMSH|1\rPID|1\rMSH|2\rBTS|2\r",
                "FHS|^~\\&\rBHS|^~\\&\rMSH|1\rPID|1\rMSH|2\rBTS|2\rFTS|1\r"
            })
    void batchIsSplitIntoMessages(String batch) throws Hl7Fault {
        assertTrue(Batch.isBatch(bytes(batch)));
        List<byte[]> split = Batch.split(bytes(batch));
        assertEquals(
                List.of("MSH|1\rPID|1\r", "MSH|2\r"),
                split.stream()
                        .map(b -> new String(b, StandardCharsets.ISO_8859_1))
                        .toList());
    }

    /** Guards against accepting a part of a truncated batch. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "BHS|^~\\&\rMSH|1\r",
                "BHS|^~\\&\rMSH|1\rBTS|2\r",
                "FHS|^~\\&\rMSH|1\rFTS|1\r",
                "BHS|^~\\&\rPID|1\rBTS|0",
                "BHS|^~\\&\rBHS|^~\\&\rBTS|0\r",
                "BHS|^~\\&\rMSH|1\rBTS|1\rMSH|2\r",
                "FHS|^~\\&\rBHS|1\rMSH|1\rBTS|1\r"
            })
    void incompleteBatchIsRejected(String batch) {
        assertThrows(Hl7Fault.class, () -> Batch.split(bytes(batch)));
    }

    @Provide
    Arbitrary<byte[]> nearlyGood() {
        byte[] valid = bytes(GOOD);
        Arbitrary<Integer> places = Arbitraries.integers().between(0, valid.length - 1);
        return places.list()
                .ofMinSize(1)
                .ofMaxSize(6)
                .flatMap(offsets -> Arbitraries.bytes()
                        .list()
                        .ofSize(offsets.size())
                        .map(replacements -> {
                            byte[] corrupted = valid.clone();
                            for (int i = 0; i < offsets.size(); i++) {
                                corrupted[offsets.get(i)] = replacements.get(i);
                            }
                            return corrupted;
                        }));
    }

    /** Any input is read or rejected with a fault, and can be answered in one frame; nothing else is thrown. */
    @Property(tries = 2000, seed = "-1")
    void onlyFaultsAreThrown(@ForAll("nearlyGood") byte[] message) {
        Header header = Header.placeholder();
        Acknowledgements acks = new Acknowledgements("");
        byte[] answer;
        try {
            header = Header.read(message);
            Request r = reader("ORC-2", true).read(header, message);
            assertTrue(r.identity().length() < 400);
            answer = acks.positive(Code.AA, header);
        } catch (Hl7Fault e) {
            answer = acks.fault(Code.AE, header, e);
        }
        for (byte b : answer) {
            assertTrue(b < 0 || b >= ' ' || b == '\r', "control character in an answer");
        }
    }
}
