package lilaclever.routing;

/**
 * One message as a front submits it.
 *
 * @param id identifies the message to the front, to the endpoints and in notices
 * @param identity equal for all duplicates of the message; null if its result is not remembered
 * @param key the idempotency key, or null
 * @param resubmitted the client marks it as a retry
 * @param inherited the client marks it as a retry with the value "again"
 * @param budgetMicros time left until its deadline
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
