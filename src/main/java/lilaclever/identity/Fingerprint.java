package lilaclever.identity;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** 16 bytes that identify a message's content: the first half of a SHA-256 over class, destination and body. */
public record Fingerprint(long high, long low) {
    /** Computes the fingerprint of a message. */
    public static Fingerprint of(int messageClass, int destination, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(ByteBuffer.allocate(8)
                    .putInt(messageClass)
                    .putInt(destination)
                    .flip());
            ByteBuffer hash = ByteBuffer.wrap(digest.digest(body));
            return new Fingerprint(hash.getLong(), hash.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }
}
