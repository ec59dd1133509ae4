package lilaclever.protocol.http;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.MalformedJsonException;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;

/**
 * Reads an endpoint list from the bytes of a response, entry by entry and without building a tree: a response of some
 * MiB has to fit a small heap. Unreadable parts are recorded as faults, and the rest is used.
 */
final class EndpointListReader {
    /** Maximum nesting of objects and arrays in a value that is skipped. */
    private static final int MAX_NESTING = 32;

    private final JsonReader json;
    private final EndpointListBuilder builder = new EndpointListBuilder();

    private EndpointListReader(byte[] body) {
        json = new JsonReader(new InputStreamReader(new ByteArrayInputStream(body), StandardCharsets.UTF_8));
    }

    /**
     * Reads a list as far as possible: a list that ends early or becomes unreadable is truncated there.
     *
     * @throws EndpointList.UnreadableListException if the text is not a JSON object, or nothing of it can be read
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

    /** Records anything that follows the list as a fault; the list stays usable. */
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

    /** Returns the text of a plain value; skips any other value and returns null. */
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

    /**
     * Skips a value of at most {@link #MAX_NESTING} levels. {@link JsonReader#skipValue} has no such limit and
     * allocates memory for each level.
     */
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
