package lilaclever.protocol.mail;

import lilaclever.routing.FinalStatus;

/** Builds delivery status notifications (RFC 3464), which report a failed delivery to the sender. */
final class DeliveryStatusNotification {
    private DeliveryStatusNotification() {}

    static Mail create(String hostName, Mail failed, FinalStatus finalStatus, String id, String date) {
        Reply serverReply = Reply.parse(finalStatus.detail());
        boolean permanent = serverReply != null
                && serverReply.isPermanentFailure()
                && finalStatus.kind() == FinalStatus.Kind.FAILED;
        String status = permanent
                ? serverReply.enhancedStatus()
                : finalStatus.kind() == FinalStatus.Kind.REFUSED ? "4.4.7" : "5.4.0";
        String explanation = permanent
                ? "The next server refused it: " + finalStatus.detail()
                : finalStatus.kind() == FinalStatus.Kind.REFUSED
                        ? "It could not be delivered in time, and was not."
                        : "Its delivery was not confirmed. It may have happened, so it was not tried again.";
        String boundary = "report-" + id;
        StringBuilder text = new StringBuilder();
        addLines(
                text,
                "From: Mail Delivery System <postmaster@" + hostName + '>',
                "To: <" + failed.reversePath() + '>',
                "Subject: Delivery failed for " + failed.recipient(),
                "Date: " + date,
                "Message-ID: <" + boundary + '@' + hostName + '>',
                "Auto-Submitted: auto-replied",
                "MIME-Version: 1.0",
                "Content-Type: multipart/report; report-type=delivery-status;",
                "\tboundary=\"" + boundary + '"',
                "",
                "--" + boundary,
                "Content-Type: text/plain; charset=us-ascii",
                "",
                "Your message to <" + failed.recipient() + "> has failed.",
                explanation,
                "",
                "--" + boundary,
                "Content-Type: message/delivery-status",
                "",
                "Reporting-MTA: dns; " + hostName,
                "",
                "Final-Recipient: rfc822; " + failed.recipient(),
                "Action: failed",
                "Status: " + status);
        if (serverReply != null) {
            addLines(text, "Diagnostic-Code: smtp; " + finalStatus.detail());
        }
        addLines(text, "", "--" + boundary, "Content-Type: text/rfc822-headers", "");
        int headerEnd = failed.content().indexOf("\r\n\r\n");
        addLines(
                text,
                headerEnd < 0 ? failed.content() : failed.content().substring(0, headerEnd),
                "",
                "--" + boundary + "--");
        return new Mail("", failed.reversePath(), text.toString());
    }

    private static void addLines(StringBuilder text, String... lines) {
        for (String line : lines) {
            text.append(line).append("\r\n");
        }
    }
}
