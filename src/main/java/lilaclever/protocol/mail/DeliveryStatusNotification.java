package lilaclever.protocol.mail;

import lilaclever.routing.FinalStatus;

/** Builds delivery status notifications (RFC 3464), which report a failed delivery to the sender. */
final class DeliveryStatusNotification {
    /** Longer headers are cut, so that the reports that are owed stay small. */
    private static final int MAX_HEADER_CHARS = 2_048;

    private DeliveryStatusNotification() {}

    /** The part of a mail from which the same report can be made: its envelope and headers. */
    static Mail reportedPart(Mail failed) {
        return new Mail(failed.reversePath(), failed.recipient(), headers(failed.content()));
    }

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
        addLines(text, headers(failed.content()), "", "--" + boundary + "--");
        return new Mail("", failed.reversePath(), text.toString());
    }

    /** The header fields of the failed mail; if they are too long the first ones, after the one that identifies it. */
    private static String headers(String content) {
        int end = content.indexOf("\r\n\r\n");
        String all = end < 0 ? content : content.substring(0, end);
        if (all.length() <= MAX_HEADER_CHARS) {
            return all;
        }
        String messageId = Mail.header(content, "Message-ID");
        int lastLineEnd = all.lastIndexOf("\r\n", MAX_HEADER_CHARS);
        String first = all.substring(0, Math.max(0, lastLineEnd));
        return messageId == null || first.contains(messageId) ? first : "Message-ID: " + messageId + "\r\n" + first;
    }

    private static void addLines(StringBuilder text, String... lines) {
        for (String line : lines) {
            text.append(line).append("\r\n");
        }
    }
}
