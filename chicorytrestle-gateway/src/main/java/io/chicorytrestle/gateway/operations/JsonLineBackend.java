package io.chicorytrestle.gateway.operations;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.flogger.MetadataKey;
import com.google.common.flogger.backend.LogData;
import com.google.common.flogger.backend.LoggerBackend;
import com.google.common.flogger.backend.Metadata;
import com.google.common.flogger.backend.system.BackendFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import org.jspecify.annotations.Nullable;

/** Formats each event as one line of JSON. */
public final class JsonLineBackend extends LoggerBackend {

    /** The bytes of a usual line. */
    private static final int INITIAL_LINE_BYTES = 256;

    /** Writes JSON. */
    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    /** The name of the logger. */
    private final String loggerName;

    /** Takes lines. */
    private final AsyncLineWriter lineWriter;

    /**
     * Creates a new backend.
     *
     * @param name The name of the logger.
     * @param sink Takes lines.
     */
    JsonLineBackend(String name, AsyncLineWriter sink) {
        this.loggerName = name;
        this.lineWriter = sink;
    }

    /** Makes backends that write to standard output. */
    public static final class Factory extends BackendFactory {

        /** The only factory. */
        private static final Factory INSTANCE = new Factory();

        /** Creates the only factory. */
        private Factory() {}

        /**
         * Returns the factory; the logging library calls this by its name.
         *
         * @return The factory.
         */
        public static BackendFactory getInstance() {
            return INSTANCE;
        }

        /** Lets loggers that are made from now on write lines of JSON. */
        public static void install() {
            System.setProperty("flogger.backend_factory", Factory.class.getName() + "#getInstance");
        }

        @Override
        public LoggerBackend create(String loggingClassName) {
            return new JsonLineBackend(loggingClassName, AsyncLineWriter.STANDARD_OUTPUT);
        }
    }

    @Override
    public String getLoggerName() {
        return loggerName;
    }

    @Override
    public boolean isLoggable(Level level) {
        return level.intValue() >= Level.INFO.intValue();
    }

    @Override
    public void log(LogData data) {
        ByteArrayOutputStream line = new ByteArrayOutputStream(INITIAL_LINE_BYTES);
        try (JsonGenerator generator = JSON_FACTORY.createGenerator(line)) {
            generator.writeStartObject();
            generator.writeNumberField(
                    "time_ms", TimeUnit.NANOSECONDS.toMillis(data.getTimestampNanos()));
            generator.writeStringField("level", data.getLevel().getName());
            generator.writeStringField("event", eventName(data));
            Metadata metadata = data.getMetadata();
            for (int index = 0; index < metadata.size(); index++) {
                writeField(generator, metadata.getKey(index), metadata.getValue(index));
            }
            generator.writeEndObject();
        } catch (IOException exception) {
            throw new IllegalStateException("Log line could not be formatted", exception);
        }
        line.write('\n');
        lineWriter.offer(line.toByteArray());
    }

    /**
     * Returns the name of an event.
     *
     * @param data The event.
     * @return The name.
     */
    private static String eventName(LogData data) {
        return data.getTemplateContext() == null
                ? String.valueOf(data.getLiteralArgument())
                : data.getTemplateContext().getMessage();
    }

    /**
     * Writes a field.
     *
     * @param generator Writes JSON.
     * @param key The field.
     * @param value The value.
     * @throws IOException Never, since the output is memory.
     */
    private static void writeField(
            JsonGenerator generator, MetadataKey<?> key, @Nullable Object value)
            throws IOException {
        generator.writeFieldName(key.getLabel());
        if (value instanceof Long || value instanceof Integer) {
            generator.writeNumber(((Number) value).longValue());
        } else if (value instanceof Double number) {
            generator.writeNumber(number);
        } else {
            generator.writeString(String.valueOf(value));
        }
    }

    @Override
    public void handleError(RuntimeException error, LogData badData) {
        System.err.println("Log event could not be written: " + error);
    }
}
