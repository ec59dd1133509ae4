package lilaclever.protocol.mail;

import static org.junit.jupiter.api.Assertions.assertTrue;

import lilaclever.routing.FinalStatus;
import org.junit.jupiter.api.Test;

/** Reports of failed mails. */
class DeliveryStatusNotificationTest {
    /** Guards against a mail without a body, or with 60 KB of headers, that fills the space of hundreds of reports. */
    @Test
    void reportOfAMailWithLongHeadersIsSmallAndNamesIt() {
        String filler = "X-Filler: " + "x".repeat(60) + "\r\n";
        for (String content : new String[] {
            filler.repeat(800) + "Message-ID: <m>\r\n\r\nbody",
            filler.repeat(800) + "Message-ID: <m>",
            "x".repeat(60_000)
        }) {
            Mail failed = new Mail("me@a.test", "you@b.test", content);
            Mail report = DeliveryStatusNotification.create(
                    "mx.test", failed, FinalStatus.of(FinalStatus.Kind.FAILED), "id", "today");
            assertTrue(report.encode().length < 4_096, report.encode().length + " bytes");
            assertTrue(report.content().contains("Final-Recipient: rfc822; you@b.test"));
            assertTrue(report.content().contains("Message-ID: <m>") || !content.contains("<m>"), report.content());
        }
    }
}
