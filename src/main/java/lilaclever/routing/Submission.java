package lilaclever.routing;

/**
 * One message as a front hands it in.
 *
 * @param id the name under which the front, the endpoints and the notices know it
 * @param identity the same for each resending of the message, where its end is to be remembered; else null
 * @param key the idempotency key, or null
 * @param budgetMicros how long it may still be delivered
 */
public record Submission(
        String id,
        String identity,
        int messageClass,
        int destination,
        String key,
        byte[] body,
        boolean resubmitted,
        boolean inherited,
        long budgetMicros) {}
