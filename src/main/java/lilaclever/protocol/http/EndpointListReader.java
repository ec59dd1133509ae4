package lilaclever.protocol.http;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.MalformedJsonException;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;

/**
 * Reads a list of endpoints from the bytes of an answer, entry by entry and without a tree of it: an answer of some MiB
 * has to fit a small heap. What can't be read is noted, and the rest counts.
 */
final class EndpointListReader {
    /** Objects and arrays within each other in a value that is passed over. */
    private static final int MAX_NESTING = 32;

    private final JsonReader json;
    private final EndpointListBuilder builder = new EndpointListBuilder();

    private EndpointListReader(byte[] body) {
        json = new JsonReader(new InputStreamReader(new ByteArrayInputStream(body), StandardCharsets.UTF_8));
    }

    /**
     * Reads a list as far as it goes: one that breaks off or can't be read from some point on is cut there.
     *
     * @throws EndpointList.UnreadableListException if it is no JSON object, or nothing of it can be read
     */
    static EndpointList read(byte[] body) throws EndpointList.UnreadableListException {
        return new EndpointListReader(body).read();
    }

    private EndpointList read() throws EndpointList.UnreadableListException {
        try {
            if (json.peek() != JsonToken.BEGIN_OBJECT) {
                throw new EndpointList.UnreadableListException("not a JSON object but " + json.peek());
            }
            json.beginObject();
        } catch (IOException | IllegalStateException e) {
            throw new EndpointList.UnreadableListException("no JSON: " + e.getMessage());
        }
        try {
            readMembers();
            readEnd();
        } catch (IOException | IllegalStateException | NumberFormatException e) {
            builder.truncate(e.getMessage());
        }
        return builder.build();
    }

    private void readMembers() throws IOException {
        while (json.hasNext()) {
            String key = json.nextName();
            if (key.equals(EndpointListBuilder.ENTRIES) && json.peek() == JsonToken.BEGIN_ARRAY) {
                readEntries();
            } else {
                builder.member(key, value());
            }
        }
        json.endObject();
    }

    /** What stands behind the list is reported; the list counts. */
    private void readEnd() {
        try {
            if (json.peek() == JsonToken.END_DOCUMENT) {
                return;
            }
        } catch (IOException e) {
            // reported below
        }
        builder.listFault("something follows its end");
    }

    private void readEntries() throws IOException {
        builder.beginEntries();
        json.beginArray();
        while (json.hasNext()) {
            if (json.peek() == JsonToken.BEGIN_OBJECT) {
                readEntry();
            } else {
                skipValue();
                builder.invalidEntry();
            }
        }
        json.endArray();
    }

    private void readEntry() throws IOException {
        json.beginObject();
        builder.beginEntry();
        while (json.hasNext()) {
            builder.entryMember(json.nextName(), value());
        }
        json.endObject();
        builder.endEntry();
    }

    /** The text of a plain value; null for any other, which is passed over. */
    private String value() throws IOException {
        switch (json.peek()) {
            case STRING, NUMBER:
                return json.nextString();
            case BOOLEAN:
                return Boolean.toString(json.nextBoolean());
            default:
                skipValue();
                return null;
        }
    }

    /** As {@link JsonReader#skipValue}, which takes room for each level of nesting without a bound. */
    private void skipValue() throws IOException {
        int depth = 0;
        do {
            switch (json.peek()) {
                case BEGIN_OBJECT:
                    json.beginObject();
                    depth++;
                    break;
                case BEGIN_ARRAY:
                    json.beginArray();
                    depth++;
                    break;
                case END_OBJECT:
                    json.endObject();
                    depth--;
                    break;
                case END_ARRAY:
                    json.endArray();
                    depth--;
                    break;
                case NAME:
                    json.nextName();
                    break;
                default:
                    json.skipValue();
                    break;
            }
            if (depth > MAX_NESTING) {
                throw new MalformedJsonException("more than " + MAX_NESTING + " levels");
            }
        } while (depth > 0);
    }
}
