package lilaclever.identity;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** 16 bytes that identify a message's content: the first half of a SHA-256 over class, destination and body. */
public record Fingerprint(long high, long low) {
    private static final int TOKEN_PREFIX_BYTES = 8;

    /** Computes the fingerprint of a message; the class counts by its name, since its number holds for one process. */
    public static Fingerprint of(String className, int destination, byte[] body) {
        byte[] name = className.getBytes(StandardCharsets.UTF_8);
        ByteBuffer prefix = ByteBuffer.allocate(2 * Integer.BYTES + name.length)
                .putInt(name.length)
                .put(name)
                .putInt(destination);
        return hash(prefix.flip(), body);
    }

    /** Computes the fingerprint of a text on its own; equal in all versions, since clients' keys are made of it. */
    public static Fingerprint ofToken(String text) {
        return hash(ByteBuffer.allocate(TOKEN_PREFIX_BYTES), text.getBytes(StandardCharsets.UTF_8));
    }

    private static Fingerprint hash(ByteBuffer prefix, byte[] content) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(prefix);
            ByteBuffer hash = ByteBuffer.wrap(digest.digest(content));
            return new Fingerprint(hash.getLong(), hash.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }
}
