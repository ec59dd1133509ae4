package lilaclever.protocol.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing of valid and invalid HTTP messages, in pieces of any size. */
class HttpMessageReaderTest {
    /** Reads the text in pieces of the given size; returns what was read and what is left, or the error's status. */
    private static String read(boolean readsResponses, String text, int pieceSize) {
        byte[] in = text.getBytes(StandardCharsets.ISO_8859_1);
        HttpMessageReader reader = new HttpMessageReader(readsResponses, 100);
        int at = 0;
        try {
            while (at < in.length && !reader.isComplete()) {
                at = reader.read(in, at, Math.min(in.length, at + pieceSize));
            }
        } catch (HttpMessageReader.InvalidMessageException e) {
            return "invalid " + (readsResponses ? reader.status() : e.status);
        }
        return !reader.isComplete()
                ? "more"
                : (readsResponses ? reader.status() : reader.path()) + " "
                        + new String(reader.body(), StandardCharsets.ISO_8859_1)
                        + (reader.keepsConnection() ? " keeps " : " closes ")
                        + (in.length - at);
    }

    private static void assertRead(String expected, boolean readsResponses, String text) {
        String bytes = text.replace("~", "\r\n").replace("^", "\n").replace("#", "\0");
        for (int pieceSize : new int[] {1, 2, 3, 7, bytes.length()}) {
            assertEquals(expected, read(readsResponses, bytes, pieceSize), text + " in pieces of " + pieceSize);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST /api?x HTTP/1.1~Content-Length: 3~~abcGET | /api abc keeps 3",
                "~GET /a HTTP/1.1~Connection: Close~~ | /a  closes 0",
                "POST /a HTTP/1.1~Transfer-Encoding: chunked~~3;x~abc~2~de~0~t: u~~ | /a abcde keeps 0",
                "POST /a HTTP/1.1~Transfer-Encoding: chunked~Content-Length: 3~~0~~ | invalid 400",
                "POST /a HTTP/1.1~Content-Length: 3~Content-Length: 3~~abc | invalid 400",
                "POST /a HTTP/1.1~Content-Length: -3~~abc | invalid 400",
                "POST /a HTTP/1.1~Content-Length: +3~~abc | invalid 400",
                "POST /a HTTP/1.1~Content-Length: 99999999999999999999~~ | invalid 413",
                "POST /a HTTP/1.1~Content-Length: 101~~ | invalid 413",
                "POST /a HTTP/1.1~Content-Length : 3~~abc | invalid 400",
                "POST /a HTTP/1.1~X: a~ b~Content-Length: 3~~abc | invalid 400",
                "POST /a HTTP/1.1~X: #~Content-Length: 3~~abc | invalid 400",
                "POST /a HTTP/1.1^Content-Length: 3^^abc | invalid 400",
                "POST /a HTTP/1.1~~ | invalid 411",
                "POST /a HTTP/1.1~Transfer-Encoding: gzip~~ | invalid 501",
                "POST /a HTTP/1.1~Transfer-Encoding: chunked~~FFFFFFFFF~ | invalid 413",
                "POST /a HTTP/1.1~Transfer-Encoding: chunked~~-1~ | invalid 400",
                "POST /a HTTP/1.1~Transfer-Encoding: chunked~~1~ab~ | invalid 400",
                "GET /a HTTP/2.7~~ | invalid 505",
                "what is this~~ | invalid 400",
                "POST /a HTTP/1.1~Content-Length: 3~~ab | more"
            })
    void requestsAreReadOrRejected(String text, String expected) {
        assertRead(expected, false, text);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 200 OK~Content-Length: 2~~okHTTP/1.1 200 OK~ | 200 ok keeps 17",
                "HTTP/1.1 100 Go on~~HTTP/1.1 103 Hints~a: b~~HTTP/1.1 503 no~Content-Length: 0~~ | 503  keeps 0",
                "HTTP/1.1 204 fine~~ | 204  keeps 0",
                "HTTP/1.1 200 OK~Content-Length: 3000000000~~xxx | invalid 200",
                "HTTP/1.1 200 OK~no header~ | invalid 200",
                "HTTP/1.1 200 OK~Content-Length: -1~~ | invalid 200",
                "HTTP/1.1 101 Other~~ | invalid 101",
                "HTTP/1.1 2x0 OK~ | invalid 0",
                "noise#~ | invalid 0",
                "HTTP/1.1 200 OK~~what | more",
                "HTTP/1.1 200 OK | more"
            })
    void responsesAreReadOrRejected(String text, String expected) {
        assertRead(expected, true, text);
    }

    @ParameterizedTest
    @CsvSource({
        "POST /a HTTP/1.1~, x, 431",
        "POST /a HTTP/1.1~, x: y~, 431",
        "'', ~, 431",
        "GET /, x, 431",
        "POST /a HTTP/1.1~Transfer-Encoding: chunked~~, 1~a~, 413"
    })
    void endlessInputIsRejected(String begin, String repeated, int status) {
        assertEquals("invalid " + status, read(false, (begin + repeated.repeat(9_000)).replace("~", "\r\n"), 1000));
    }

    /** Fields of one name were not counted, and each was joined anew to all before it. */
    @ParameterizedTest
    @CsvSource({"64, more", "65, invalid 431"})
    void fieldsOfOneNameAreCounted(int fields, String expected) {
        assertEquals(expected, read(false, "GET /a HTTP/1.1\r\n" + "x:\r\n".repeat(fields), 1000));
    }

    /** Bodies in chunks of a byte took the selector thread as long as many requests, and others waited for seconds. */
    @ParameterizedTest
    @CsvSource({"1, 60000, 431", "64, 64000, ", "4096, 4000000, "})
    void chunkSizesMayNotTakeMuchMoreThanTheBody(int chunkBytes, int bodyBytes, Integer status) {
        HttpMessageReader reader = new HttpMessageReader(false, bodyBytes);
        byte[] in = ("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + (Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n")
                                .repeat(bodyBytes / chunkBytes)
                        + "0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        Integer rejectedWith = null;
        try {
            reader.read(in, 0, in.length);
        } catch (HttpMessageReader.InvalidMessageException e) {
            rejectedWith = e.status;
        }
        assertEquals(status, rejectedWith);
        assertEquals(status == null, reader.isComplete());
    }

    @ParameterizedTest
    @CsvSource({"1.5, 1500000", "0, 0", "1e999999999, ''", "-1, ''", "soon, ''", "1234567890, ''", "1.0000000000001, ''"
    })
    void numbersAreBoundedBeforeEvaluation(String text, String expected) {
        Long read = HeaderValues.shiftedDecimal(text, 6);
        assertEquals(expected, read == null ? "" : read.toString());
    }

    /** Part of a long deadline is reserved for the unobservable time in the socket; of a short one, less. */
    @ParameterizedTest
    @CsvSource({"12000000, 0, 11880000", "6000000, 1000000, 4880000", "500000, -5, 490000", "50000, 90000, 0"})
    void timeInTheSocketIsDeductedFromTheBudget(long deadline, long sinceRead, long budget) {
        assertEquals(budget, HttpFront.budgetMicros(deadline, sinceRead));
    }
}
