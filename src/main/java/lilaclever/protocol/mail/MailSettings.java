package lilaclever.protocol.mail;

import java.util.List;
import java.util.Map;

/**
 * What the mail file says, checked. Classes are numbers in the settings' list; {@code otherwise} is the class of a
 * message whose header names none that is known.
 */
public record MailSettings(
        String hostName,
        List<Listener> listeners,
        List<Route> routes,
        String classHeader,
        Map<String, Integer> classes,
        int defaultClass,
        int dsnClass,
        int maxMessageBytes,
        int maxRecipients,
        long idleTimeoutMicros,
        List<Long> budgetsMicros) {
    /** Which of the two protocols is spoken. */
    public enum Protocol {
        SMTP,
        LMTP
    }

    /** Where clients connect. */
    public record Listener(Protocol protocol, String address) {}

    /** Where the mail for a domain goes. */
    public record Route(String domain, int destination, Protocol protocol, List<String> addresses) {
        /** The name of one of its addresses in the list of endpoints. */
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
