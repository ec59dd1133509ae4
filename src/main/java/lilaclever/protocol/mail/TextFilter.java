package lilaclever.protocol.mail;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/** Writes text, one octet per character. */
class TextFilter extends BaseFilter {
    @Override
    public NextAction handleWrite(FilterChainContext context) throws IOException {
        String text = context.getMessage();
        context.setMessage(Buffers.wrap(context.getMemoryManager(), text.getBytes(StandardCharsets.ISO_8859_1)));
        return context.getInvokeAction();
    }
}
