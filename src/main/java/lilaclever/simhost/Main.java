package lilaclever.simhost;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import lilaclever.DecisionModule;

/** Runs decision modules for the simulator: reads events from standard input, writes actions to standard output. */
public final class Main {
    private Main() {}

    /** Processes batches on standard input and output; returns the exit code. */
    public static int run() {
        return run(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out), System.err);
    }

    /** Processes batches until the input ends; returns the exit code. */
    static int run(InputStream in, OutputStream out, PrintStream err) {
        try {
            processBatches(
                    new WireReader(new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16)),
                    new WireWriter(new BufferedWriter(new OutputStreamWriter(out, StandardCharsets.UTF_8), 1 << 16)));
            return 0;
        } catch (WireException e) {
            err.println("lilaclever: " + e.getMessage());
            return 1;
        } catch (IOException e) {
            err.println("lilaclever: input or output failed: " + e.getMessage());
            return 1;
        }
    }

    private static void processBatches(WireReader reader, WireWriter writer) throws IOException, WireException {
        Map<String, DecisionModule> modules = new LinkedHashMap<>();
        WireReader.Batch batch;
        while ((batch = reader.next(modules)) != null) {
            for (Map.Entry<String, WireReader.ModuleEvents> entry :
                    batch.modules().entrySet()) {
                try {
                    writer.writeActions(
                            entry.getKey(),
                            entry.getValue()
                                    .module()
                                    .decide(batch.nowMicros(), entry.getValue().events()));
                } catch (RuntimeException e) {
                    StackTraceElement[] trace = e.getStackTrace();
                    writer.writePanic(entry.getKey(), e + (trace.length > 0 ? " at " + trace[0] : ""));
                }
            }
            writer.finishBatch();
        }
    }
}
