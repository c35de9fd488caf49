package io.chicorytrestle.core.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.List;

/** Installs handlers for the operating system's signals to this process. */
public final class SignalHandlers {

    /** The names of the signals that request the termination of a process. */
    public static final List<String> TERMINATION_SIGNALS = List.of("TERM", "INT");

    /** The names of the signals that request a reload of the settings. */
    public static final List<String> RELOAD_SIGNALS = List.of("HUP");

    /** Prevents instances. */
    private SignalHandlers() {}

    /**
     * Installs an action for signals, which replaces their default handling.
     *
     * <p>The JDK offers signals only in {@code jdk.unsupported}, a module without compile-time
     * guarantees, so that they are accessed by reflection.
     *
     * @param signals The names of the signals, without the prefix {@code SIG}.
     * @param action The action, which is called on a new thread for each signal.
     * @throws IllegalStateException If the JDK offers no signals, or a handler cannot be installed.
     */
    public static void install(List<String> signals, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocation =
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    };
            Object proxy =
                    Proxy.newProxyInstance(
                            SignalHandlers.class.getClassLoader(),
                            new Class<?>[] {handler},
                            invocation);
            for (String name : signals) {
                Object created = signal.getConstructor(String.class).newInstance(name);
                signal.getMethod("handle", signal, handler).invoke(null, created, proxy);
            }
        } catch (ReflectiveOperationException exception) {
            throw new IllegalStateException("Cannot install signal handlers", exception);
        }
    }
}
