package lilaclever.program;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import lilaclever.log.Logs;

/**
 * Signals of the system. The one way to them in Java is {@code sun.misc.Signal} of the module jdk.unsupported; the
 * compiler warns of its use, and that warning can't be turned off, so it is reached by name.
 */
final class Signals {
    private Signals() {}

    /** True if whoever started this program has SIGHUP ignored (nohup does): then no handler is ever called. */
    static boolean isHangupIgnored() {
        try (Stream<String> lines = Files.lines(Path.of("/proc/self/status"))) {
            return lines.filter(l -> l.startsWith("SigIgn:"))
                    .anyMatch(l -> l.matches(".*[13579bdf]")); // signal 1 is the lowest bit
        } catch (IOException | UncheckedIOException e) {
            return false; // not on this system
        }
    }

    /** Has the task run at each SIGHUP, on a thread of its own; what it throws is told and ends nothing. */
    static void onHangup(Runnable task) {
        onSignal("HUP", task);
    }

    /** Has the task run at each such signal, on a thread of its own, in place of what the machine would do. */
    static void onSignal(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(),
                    new Class<?>[] {handler},
                    (self, method, arguments) -> switch (method.getName()) {
                        case "handle" -> {
                            run(task);
                            yield null;
                        }
                        case "hashCode" -> System.identityHashCode(self);
                        case "equals" -> self == arguments[0];
                        default -> "SIG" + name;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            Logs.warn("", "no-signal", "no SIG" + name + " here: " + e, "signal", name);
        }
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logs.error("", "signal-failed", "at a signal: " + e);
        }
    }
}
