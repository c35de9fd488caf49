package io.chicorytrestle.core.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.List;

/** Watches for the operating system's signals to this process. */
public final class SignalHandlers {

    /** The signals that ask a process to end. */
    public static final List<String> TERMINATION_SIGNALS = List.of("TERM", "INT");

    /** The signal that tells that the settings changed. */
    public static final List<String> RELOAD_SIGNALS = List.of("HUP");

    /** Prevents instances. */
    private SignalHandlers() {}

    /**
     * Calls an action at each of some signals, in place of what the signal does by itself.
     *
     * <p>The platform offers signals only in a module without compile-time guarantees, so that it
     * is reached by reflection.
     *
     * @param signals The names of the signals.
     * @param action The action, which is called by a thread of its own for each signal.
     * @throws IllegalStateException If the platform offers no signals.
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
            throw new IllegalStateException("Cannot watch for signals", exception);
        }
    }
}
