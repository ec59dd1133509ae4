package lilaclever.protocol.mllp;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lilaclever.protocol.mllp.Hl7Fault.Code;

/**
 * Splits a frame with a batch: messages between BHS and BTS, optionally inside FHS and FTS. Each message is accepted
 * and acknowledged separately; an incomplete batch is rejected as a whole, before any of its messages is accepted.
 */
final class Batch {
    private static final int MAX_MESSAGES = 100;

    private Batch() {}

    /** True if the frame contains a batch. */
    static boolean isBatch(byte[] frame) {
        return frame.length > 3 && (startsWith(frame, 0, "BHS") || startsWith(frame, 0, "FHS"));
    }

    /** The messages of a batch, byte for byte. */
    static List<byte[]> split(byte[] frame) throws Hl7Fault {
        List<byte[]> messages = new ArrayList<>();
        int messageStart = -1, messageCount = 0;
        boolean isFile = startsWith(frame, 0, "FHS"), inBatch = false, ended = false;
        for (int start = 0; start < frame.length; ) {
            int end = start;
            while (end < frame.length && frame[end] != '\r') {
                end++;
            }
            String segmentName = end - start < 3 ? "" : new String(frame, start, 3, StandardCharsets.ISO_8859_1);
            if (ended && end > start) {
                throw new Hl7Fault(Code.SEGMENT_SEQUENCE, segmentName, 0, "something follows the end");
            }
            if (segmentName.equals("MSH")
                    || segmentName.equals("BTS")
                    || segmentName.equals("FTS")
                    || segmentName.equals("BHS")) {
                if (messageStart >= 0) {
                    messages.add(Arrays.copyOfRange(frame, messageStart, start));
                    messageCount++;
                }
                messageStart = -1;
            }
            switch (segmentName) {
                case "MSH" -> {
                    if (!inBatch) {
                        throw new Hl7Fault(Code.SEGMENT_SEQUENCE, "MSH", 0, "a message outside of a batch");
                    }
                    messageStart = start;
                }
                case "FHS" -> {
                    if (start > 0) {
                        throw new Hl7Fault(Code.SEGMENT_SEQUENCE, "FHS", 0, "a file within a file");
                    }
                }
                case "BHS" -> {
                    if (inBatch) {
                        throw new Hl7Fault(Code.SEGMENT_SEQUENCE, "BHS", 0, "a batch within a batch");
                    }
                    inBatch = true;
                    messageCount = 0;
                }
                case "BTS" -> {
                    checkCount(frame, start, end, messageCount, inBatch);
                    inBatch = false;
                    ended = !isFile;
                }
                case "FTS" -> ended = true;
                default -> {
                    if (messageStart < 0 && end > start) {
                        throw new Hl7Fault(Code.SEGMENT_SEQUENCE, segmentName, 0, "a segment of no message");
                    }
                }
            }
            if (messages.size() > MAX_MESSAGES) {
                throw new Hl7Fault(Code.SEGMENT_SEQUENCE, "MSH", 0, "more than " + MAX_MESSAGES + " messages");
            }
            start = end + 1;
        }
        if (inBatch || !ended) {
            throw new Hl7Fault(Code.SEGMENT_SEQUENCE, inBatch ? "BTS" : "FTS", 0, "the end is missing");
        }
        return messages;
    }

    /** BTS-1, if present, must be the number of messages in the batch. */
    private static void checkCount(byte[] frame, int start, int end, int messageCount, boolean inBatch)
            throws Hl7Fault {
        String[] fields = new String(frame, start, end - start, StandardCharsets.ISO_8859_1).split("[^A-Za-z0-9]", 3);
        if (!inBatch) {
            throw new Hl7Fault(Code.SEGMENT_SEQUENCE, "BTS", 0, "the end of no batch");
        }
        if (fields.length > 1 && !fields[1].isEmpty() && !fields[1].equals(Integer.toString(messageCount))) {
            throw new Hl7Fault(Code.DATA_TYPE, "BTS", 1, "the batch has " + messageCount + " messages");
        }
    }

    private static boolean startsWith(byte[] frame, int offset, String name) {
        return frame[offset] == name.charAt(0)
                && frame[offset + 1] == name.charAt(1)
                && frame[offset + 2] == name.charAt(2);
    }
}
