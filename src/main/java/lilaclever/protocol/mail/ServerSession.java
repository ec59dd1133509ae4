package lilaclever.protocol.mail;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lilaclever.protocol.mail.MailSettings.Protocol;
import lilaclever.routing.Deadlines;
import lilaclever.transport.InputBudget;
import lilaclever.transport.Transport;
import org.glassfish.grizzly.Connection;

/**
 * The server side of one client connection: SMTP or LMTP commands, one transaction at a time. Event loop, except the
 * reading of lines, which stops while too many of them are not handled.
 */
final class ServerSession {
    private static final Pattern PATH = Pattern.compile("(?i)(?:FROM|TO):\\s*<(?:@[^:>]*:)?([^<>\\s]*)>(.*)");
    /** Limit of commands without a completed mail, in addition to one for each recipient. */
    private static final int MAX_COMMANDS = 100;
    /** A connection whose content exceeds this multiple of the largest mail is closed. */
    private static final int MAX_CONTENT_FACTOR = 4;

    private final MailFront front;
    private final MailSettings settings;
    private final Connection<?> connection;
    private final String peer;
    private final boolean lmtp;
    private final LineInput input;
    /** Received lines that are not processed yet, such as those that arrive while replies are pending. */
    private final ArrayDeque<LineBlock> queuedBlocks = new ArrayDeque<>();

    private final List<String> recipients = new ArrayList<>();
    private Reply[] replies;
    private String clientName;
    private String reversePath;
    private String contentWithTrace;
    private StringBuilder content;
    private boolean tooLarge, bareLineEnding, awaitingReplies, closed;
    private int commandCount;
    private long contentBytesReceived;
    private Deadlines.Key idleTimeout, contentTimeout;

    ServerSession(MailFront front, Connection<?> connection, String peer, InputBudget budget) {
        this.front = front;
        this.settings = front.settings();
        this.connection = connection;
        this.peer = peer;
        this.lmtp = front.protocol() == Protocol.LMTP;
        input = new LineInput(connection, budget, block -> front.core().post(() -> queueBlock(block)));
    }

    // Connection
    void greet() {
        write("220 " + settings.hostName() + (lmtp ? " LMTP" : " ESMTP") + " lilaclever ready\r\n");
        restartIdleTimeout();
    }

    /** Reads bytes from the socket. Selector thread. */
    void onBytes(byte[] bytes) {
        input.received(bytes);
    }

    private static int lineBytes(String line) {
        return line.length() + 2;
    }

    private void queueBlock(LineBlock block) {
        if (closed) {
            input.handled(block);
            return;
        }
        queuedBlocks.add(block);
        processQueuedLines();
    }

    private void processQueuedLines() {
        while (!awaitingReplies && !closed && !queuedBlocks.isEmpty()) {
            LineBlock block = queuedBlocks.peek();
            String line = block.takeLine();
            if (block.isEmpty()) {
                queuedBlocks.remove();
                input.handled(block);
            }
            if (content != null) {
                handleContentLine(line);
            } else {
                handleCommand(line);
            }
        }
        restartIdleTimeout();
    }

    /** Restarts the timeout after which an idle client is disconnected. */
    private void restartIdleTimeout() {
        front.core().deadlines().cancel(idleTimeout);
        if (!closed && !awaitingReplies) {
            idleTimeout = front.core()
                    .deadlines()
                    .schedule(
                            front.core().nowMicros() + settings.idleTimeoutMicros(),
                            () -> close("421 4.4.2 nothing came for too long\r\n"));
        }
    }

    void closeForShutdown() {
        if (!awaitingReplies) {
            close("421 4.3.2 " + settings.hostName() + " is stopping\r\n");
        }
    }

    void close(String farewell) {
        if (closed) {
            return;
        }
        closed = true;
        Transport.write(connection, farewell, connection::closeSilently, connection::closeSilently);
        onClosed();
    }

    void onClosed() {
        closed = true;
        front.core().deadlines().cancel(idleTimeout);
        front.core().deadlines().cancel(contentTimeout);
        queuedBlocks.forEach(block -> input.handled(block));
        queuedBlocks.clear();
        content = null;
        front.removeSession(this);
    }

    private void write(String text) {
        if (!closed) {
            Transport.write(connection, text, () -> {}, connection::closeSilently);
        }
    }

    private void reply(int code, String text) {
        write(new Reply(code, text).toLine());
    }

    // Commands
    private void handleCommand(String line) {
        if (++commandCount > MAX_COMMANDS + settings.maxRecipients()) {
            close("421 4.7.0 too many commands without a mail\r\n");
            return;
        }
        if (line.indexOf('\r') >= 0 || line.indexOf('\n') >= 0) {
            reply(500, "5.5.2 a line ends in CR or LF alone");
            return;
        }
        int space = line.indexOf(' ');
        String verb = (space < 0 ? line : line.substring(0, space)).toUpperCase(Locale.ROOT);
        String arguments = space < 0 ? "" : line.substring(space + 1).strip();
        switch (verb) {
            case "LHLO" -> handleHello(lmtp, arguments, true);
            case "EHLO" -> handleHello(!lmtp, arguments, true);
            case "HELO" -> handleHello(!lmtp, arguments, false);
            case "MAIL" -> handleMail(arguments);
            case "RCPT" -> handleRcpt(arguments);
            case "DATA" -> handleData();
            case "RSET" -> {
                resetTransaction();
                reply(250, "2.0.0 reset");
            }
            case "NOOP" -> reply(250, "2.0.0 done");
            case "VRFY" -> reply(252, "2.1.5 try to send to it");
            case "HELP" -> reply(214, "2.0.0 see RFC 5321 and RFC 2033");
            case "QUIT" -> close("221 2.0.0 " + settings.hostName() + " closes\r\n");
            default -> reply(500, "5.5.1 unknown command");
        }
    }

    private void handleHello(boolean supported, String name, boolean extended) {
        if (!supported) {
            reply(500, "5.5.1 not in " + (lmtp ? "LMTP" : "SMTP"));
        } else if (name.isEmpty()) {
            reply(501, "5.5.4 who are you?");
        } else {
            resetTransaction();
            clientName = name;
            String host = settings.hostName();
            write(
                    !extended
                            ? "250 " + host + "\r\n"
                            : "250-" + host + "\r\n250-PIPELINING\r\n250-8BITMIME\r\n250-SIZE "
                                    + settings.maxMessageBytes() + "\r\n250 ENHANCEDSTATUSCODES\r\n");
        }
    }

    private void handleMail(String arguments) {
        Matcher path = PATH.matcher(arguments);
        if (clientName == null || reversePath != null) {
            reply(503, "5.5.1 " + (clientName == null ? "a greeting" : "the end of the last mail") + " comes first");
        } else if (!arguments.toUpperCase(Locale.ROOT).startsWith("FROM:") || !path.matches()) {
            reply(501, "5.5.4 MAIL FROM:<path>");
        } else {
            long declaredBytes = 0;
            for (String parameter : path.group(2).strip().split("\\s+")) {
                String upper = parameter.toUpperCase(Locale.ROOT);
                if (upper.matches("SIZE=\\d{1,15}")) {
                    declaredBytes = Long.parseLong(upper.substring(5));
                } else if (!upper.isEmpty() && !upper.equals("BODY=8BITMIME") && !upper.equals("BODY=7BIT")) {
                    reply(555, "5.5.4 unknown parameter " + parameter);
                    return;
                }
            }
            if (declaredBytes > settings.maxMessageBytes()) {
                reply(552, "5.3.4 at most " + settings.maxMessageBytes() + " bytes");
                return;
            }
            reversePath = path.group(1);
            reply(250, "2.1.0 sender taken");
        }
    }

    private void handleRcpt(String arguments) {
        Matcher path = PATH.matcher(arguments);
        if (reversePath == null) {
            reply(503, "5.5.1 MAIL comes first");
        } else if (!arguments.toUpperCase(Locale.ROOT).startsWith("TO:")
                || !path.matches()
                || path.group(1).isEmpty()) {
            reply(501, "5.5.4 RCPT TO:<path>");
        } else if (!path.group(2).isBlank()) {
            reply(555, "5.5.4 unknown parameter");
        } else if (settings.route(path.group(1)) == null) {
            reply(550, "5.1.2 no route to this domain");
        } else if (recipients.size() >= settings.maxRecipients()) {
            reply(452, "4.5.3 too many recipients");
        } else {
            recipients.add(path.group(1));
            reply(250, "2.1.5 recipient taken");
        }
    }

    private void handleData() {
        if (recipients.isEmpty()) {
            reply(503, "5.5.1 " + (reversePath == null ? "MAIL and RCPT come" : "a valid RCPT comes") + " first");
        } else {
            content = new StringBuilder();
            tooLarge = false;
            bareLineEnding = false;
            contentBytesReceived = 0;
            // A slow trickle of lines never triggers the idle timeout, so the content as a whole has a time limit
            // as well.
            contentTimeout = front.core()
                    .deadlines()
                    .schedule(
                            front.core().nowMicros() + settings.idleTimeoutMicros(),
                            () -> close("421 4.4.2 the mail took too long\r\n"));
            write("354 end with a dot on a line of its own\r\n");
        }
    }

    private void resetTransaction() {
        reversePath = null;
        recipients.clear();
        content = null;
        replies = null;
    }

    // Content
    private void handleContentLine(String line) {
        if (line.equals(".")) {
            completeContent();
            return;
        }
        String unstuffed = line.startsWith(".") ? line.substring(1) : line;
        // Some servers take a bare CR or LF for a line ending, so a second mail could be smuggled in behind it.
        bareLineEnding |= unstuffed.indexOf('\n') >= 0 || unstuffed.indexOf('\r') >= 0;
        tooLarge |= content.length() + unstuffed.length() + 2 > settings.maxMessageBytes();
        contentBytesReceived += lineBytes(line);
        if (contentBytesReceived > MAX_CONTENT_FACTOR * (long) settings.maxMessageBytes()) {
            close("421 4.3.0 at most " + settings.maxMessageBytes() + " bytes\r\n");
            return;
        }
        if (!tooLarge) {
            content.append(unstuffed).append("\r\n");
        }
    }

    private void completeContent() {
        front.core().deadlines().cancel(contentTimeout);
        commandCount = 0;
        Reply rejection = tooLarge
                ? new Reply(552, "5.3.4 at most " + settings.maxMessageBytes() + " bytes")
                : bareLineEnding ? new Reply(550, "5.6.0 a line ends in CR or LF alone") : null;
        contentWithTrace = "Received: from " + clientName + " ([" + peer + "]) by " + settings.hostName() + " with "
                + (lmtp ? "LMTP" : "ESMTP") + "; " + MailFront.date() + "\r\n" + content;
        awaitingReplies = true;
        content = null;
        Reply[] transactionReplies = new Reply[recipients.size()];
        replies = transactionReplies;
        for (int i = 0; i < transactionReplies.length; i++) {
            int index = i;
            if (rejection != null) {
                onRecipientReply(transactionReplies, index, rejection);
            } else {
                front.submit(
                        new Mail(reversePath, recipients.get(i), contentWithTrace),
                        reply -> onRecipientReply(transactionReplies, index, reply));
            }
        }
    }

    /**
     * Records one recipient's reply; once all are known, LMTP writes them in order and SMTP one for all. Returns
     * whether the client is still connected.
     */
    private boolean onRecipientReply(Reply[] transactionReplies, int index, Reply reply) {
        transactionReplies[index] = reply;
        if (transactionReplies == replies) {
            replyIfComplete(transactionReplies);
        }
        return !closed;
    }

    private void replyIfComplete(Reply[] transactionReplies) {
        for (Reply each : transactionReplies) {
            if (each == null) {
                return;
            }
        }
        if (lmtp) {
            for (Reply each : transactionReplies) {
                write(each.toLine());
            }
            finishTransaction();
        } else {
            Reply combined = front.tellsEndInReply(reversePath)
                    ? combineFinalReplies(transactionReplies)
                    : combineReplies(transactionReplies);
            int[] remaining = {1};
            Runnable replyWhenReported = () -> {
                if (--remaining[0] == 0) {
                    write(combined.toLine());
                    finishTransaction();
                }
            };
            if (combined.isPositive()) {
                // With 250 we are responsible for all recipients: rejected ones are reported before the reply.
                for (int i = 0; i < transactionReplies.length; i++) {
                    if (transactionReplies[i].code() / 100 == 4) {
                        remaining[0]++;
                        front.reportRejectedRecipient(
                                new Mail(reversePath, recipients.get(i), contentWithTrace), replyWhenReported);
                    }
                }
            }
            replyWhenReported.run();
        }
    }

    private void finishTransaction() {
        awaitingReplies = false;
        resetTransaction();
        if (front.isClosing()) {
            closeForShutdown();
        } else {
            front.core().post(this::processQueuedLines); // posted, since this may run inside processQueuedLines
        }
    }

    /**
     * The one reply of SMTP where it tells the end of all recipients: none of their failures is reported otherwise. A
     * client that comes again gets the earlier end of the others, if its mail can be recognized.
     */
    private Reply combineFinalReplies(Reply[] transactionReplies) {
        boolean recognizable = MailFront.hasUsableMessageId(contentWithTrace);
        boolean isDeliveredToSome = false;
        int worst = 0;
        for (int i = 0; i < transactionReplies.length; i++) {
            isDeliveredToSome |= transactionReplies[i].isPositive();
            worst = transactionReplies[i].code() > transactionReplies[worst].code() ? i : worst;
        }
        Reply reply = transactionReplies[worst];
        if (!isDeliveredToSome || reply.isPositive()) {
            return reply;
        }
        boolean mayComeAgain = !reply.isPermanentFailure() && recognizable;
        return mayComeAgain
                ? reply
                : new Reply(554, "5.3.0 delivered, but not to all: <" + recipients.get(worst) + "> " + reply.text());
    }

    /**
     * SMTP has one reply for the whole mail. If some recipients were accepted and others rejected for now, the client
     * is asked to retry a mail that can be recognized: recipients already accepted get no second message.
     */
    private Reply combineReplies(Reply[] transactionReplies) {
        Reply positive = null;
        Reply transientFailure = null;
        for (Reply each : transactionReplies) {
            positive = each.isPositive() ? each : positive;
            transientFailure = each.code() / 100 == 4 ? each : transientFailure;
        }
        boolean recognizable = MailFront.hasUsableMessageId(contentWithTrace);
        return transientFailure != null && (recognizable || positive == null)
                ? transientFailure
                : positive != null ? positive : transactionReplies[0];
    }
}
