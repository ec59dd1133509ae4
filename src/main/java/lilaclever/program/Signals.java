package lilaclever.program;

import java.lang.reflect.Proxy;

/**
 * Signals of the system. The one way to them in Java is {@code sun.misc.Signal} of the module jdk.unsupported; the
 * compiler warns of its use, and that warning can't be turned off, so it is reached by name.
 */
final class Signals {
    private Signals() { }

    /** Has the task run at each SIGHUP, on a thread of its own; what it throws is told and ends nothing. */
    static void onHangup(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler},
                    (self, method, arguments) -> switch (method.getName()) {
                        case "handle" -> {
                            run(task);
                            yield null;
                        }
                        case "hashCode" -> System.identityHashCode(self);
                        case "equals" -> self == arguments[0];
                        default -> "SIGHUP";
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            System.err.println("lilaclever: no SIGHUP here: " + e);
        }
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            System.err.println("lilaclever: at SIGHUP: " + e);
        }
    }
}
