package lilaclever.protocol.mail;

import java.util.List;
import java.util.Map;

/**
 * The validated content of the mail file. Message classes are names, since a reload may change what they mean.
 *
 * @param classHeader the header field that names a mail's message class
 * @param classes the message class for each value of that header; other mails must not be repeated
 * @param dsnClass the class of delivery status notifications, or null if they must not be repeated
 * @param idleTimeoutMicros a client connection is closed after so long without a line; also the limit for one content
 */
public record MailSettings(
        String hostName,
        List<Listener> listeners,
        List<Route> routes,
        String classHeader,
        Map<String, String> classes,
        String dsnClass,
        int maxMessageBytes,
        int maxRecipients,
        long idleTimeoutMicros) {
    /** A mail protocol. The names, in lower case, are the names of the fronts in the journal. */
    public enum Protocol {
        SMTP,
        LMTP
    }

    /** An address where clients connect. */
    public record Listener(Protocol protocol, String address) {}

    /** The servers to which the mail for a domain is sent. */
    public record Route(String domain, int destination, Protocol protocol, List<String> addresses) {
        /** The host name of one of the addresses in the list of endpoints. */
        public String host(String address) {
            return "mail/" + domain + '/' + address;
        }
    }

    Route route(String recipient) {
        String domain = recipient.substring(recipient.lastIndexOf('@') + 1);
        return routes.stream()
                .filter(r -> r.domain().equalsIgnoreCase(domain))
                .findFirst()
                .orElse(null);
    }
}
