package lilaclever.routing;

/**
 * One message as a front submits it.
 *
 * @param id identifies the message to the front, to the endpoints and in notices
 * @param identity equal for all duplicates of the message; null if its result is not remembered
 * @param messageClass the version of its class that it was submitted with
 * @param key the idempotency key, or null
 * @param resubmitted the client marks it as a retry
 * @param inherited the client marks it as a retry with the value "again"
 * @param budgetMicros time left until its deadline
 */
public record Submission(
        String id,
        String identity,
        ClassVersion messageClass,
        int destination,
        String key,
        byte[] body,
        boolean resubmitted,
        boolean inherited,
        long budgetMicros) {
    /** Creates a submission of a class of which only the number is known. */
    public Submission(
            String id,
            String identity,
            int classNumber,
            int destination,
            String key,
            byte[] body,
            boolean resubmitted,
            boolean inherited,
            long budgetMicros) {
        this(
                id,
                identity,
                ClassVersion.ofNumber(classNumber),
                destination,
                key,
                body,
                resubmitted,
                inherited,
                budgetMicros);
    }

    /** The same submission with another body. */
    Submission withBody(byte[] newBody) {
        return new Submission(
                id, identity, messageClass, destination, key, newBody, resubmitted, inherited, budgetMicros);
    }

    /** The same submission for another destination. */
    Submission withDestination(int newDestination) {
        return new Submission(
                id, identity, messageClass, newDestination, key, body, resubmitted, inherited, budgetMicros);
    }

    /** The same submission with another version of its class. */
    Submission withClass(ClassVersion version) {
        return new Submission(id, identity, version, destination, key, body, resubmitted, inherited, budgetMicros);
    }
}
