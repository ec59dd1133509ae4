package lilaclever.program;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import lilaclever.log.Logs;

/**
 * Installs handlers for POSIX signals. Java offers only {@code sun.misc.Signal} of the module jdk.unsupported for this;
 * it is called by reflection because the compiler's warning about its use can't be suppressed.
 */
final class Signals {
    private Signals() {}

    /** Returns whether this process inherited an ignored SIGHUP, as from nohup: then no handler is ever called. */
    static boolean isHangupIgnored() {
        try (Stream<String> lines = Files.lines(Path.of("/proc/self/status"))) {
            return lines.filter(l -> l.startsWith("SigIgn:"))
                    .anyMatch(l -> l.matches(".*[13579bdf]")); // signal 1 is the lowest bit
        } catch (IOException | UncheckedIOException e) {
            return false; // not on this system
        }
    }

    /** Runs the task at each SIGHUP, on a separate thread; an exception is logged and has no other effect. */
    static void onHangup(Runnable task) {
        onSignal("HUP", task);
    }

    /** Runs the task at each such signal, on a separate thread, instead of the default action of the JVM. */
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
            Logs.warn("", "no-signal", "SIG" + name + " can't be handled: " + e, "signal", name);
        }
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logs.error("", "signal-failed", "signal handler failed: " + e);
        }
    }
}
