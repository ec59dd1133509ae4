package lilaclever.protocol.mail;

import java.util.function.Consumer;
import lilaclever.transport.InputBudget;
import lilaclever.transport.PacedInput;
import org.glassfish.grizzly.Connection;

/** Reads the lines of a connection, in blocks and no faster than they are handled. Selector thread, unless stated. */
final class LineInput {
    /** Limit of the bytes of lines that are read and not handled yet; one block of lines more may exceed it. */
    private static final int MAX_UNHANDLED_BYTES = 16 * 1024;
    /** What one connection can take at the most, with that block and the longest line in it. */
    static final int MAX_CONNECTION_BYTES = 40 * 1024;

    private static final int MAX_BLOCKS = 1_000;

    private final Connection<?> connection;
    private final Consumer<LineBlock> onBlock;
    private final LineReader reader = new LineReader();
    private final PacedInput input;
    private volatile String unfinishedLine = "";

    /** Passes blocks of lines on; each has to be passed to {@link #handled} when it is its turn. */
    LineInput(Connection<?> connection, InputBudget budget, Consumer<LineBlock> onBlock) {
        this.connection = connection;
        this.onBlock = onBlock;
        input = new PacedInput(connection, budget, MAX_BLOCKS, MAX_UNHANDLED_BYTES, this::parse);
    }

    /** Reads bytes from the socket. */
    void received(byte[] bytes) {
        input.received(bytes);
    }

    /** Counts a block as handled, which lets reading go on. Any thread, once for each block. */
    void handled(LineBlock block) {
        input.handled(block.bytes());
    }

    /** What was read of a line that has not ended; empty if nothing was. Any thread. */
    String unfinishedLine() {
        return unfinishedLine;
    }

    /** Reads lines until a block is full or the bytes are used up. */
    private int parse(byte[] bytes, int from) {
        LineBlock block = new LineBlock();
        int at = from;
        try {
            while (at < bytes.length && !block.isFull()) {
                at = reader.read(bytes, at);
                String line = reader.takeLine();
                if (line != null) {
                    block.add(line);
                }
            }
        } catch (LineReader.LineTooLongException e) {
            connection.closeSilently();
            return bytes.length;
        }
        unfinishedLine = reader.unfinishedLine();
        if (!block.isEmpty()) {
            input.begin(block.bytes());
            onBlock.accept(block);
        }
        return at;
    }
}
