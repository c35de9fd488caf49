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

/** Flogger backend that writes each log event as one line of JSON. */
public final class JsonLineBackend extends LoggerBackend {

    /** The initial buffer size for a line in bytes, enough for a typical line. */
    private static final int INITIAL_LINE_BYTES = 256;

    /** Creates the JSON generator of each line. */
    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    /** The name of the logger. */
    private final String loggerName;

    /** Writes the formatted lines. */
    private final AsyncLineWriter lineWriter;

    /**
     * Creates a new backend.
     *
     * @param loggerName The name of the logger.
     * @param lineWriter Writes the formatted lines.
     */
    JsonLineBackend(String loggerName, AsyncLineWriter lineWriter) {
        this.loggerName = loggerName;
        this.lineWriter = lineWriter;
    }

    /** Creates backends that write to standard output. */
    public static final class Factory extends BackendFactory {

        /** The only instance of this class. */
        private static final Factory INSTANCE = new Factory();

        /** Prevents further instances. */
        private Factory() {}

        /**
         * Returns the factory. Flogger calls this method by reflection.
         *
         * @return The factory.
         */
        public static BackendFactory getInstance() {
            return INSTANCE;
        }

        /**
         * Selects this factory for loggers. It must be called before the first logger is created,
         * since Flogger reads the setting once.
         */
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
            throw new IllegalStateException("Log event could not be formatted as JSON", exception);
        }
        line.write('\n');
        lineWriter.offer(line.toByteArray());
    }

    /**
     * Returns the event name, which is the log message without its arguments. The values of an
     * event are logged as metadata instead.
     *
     * @param data The log event.
     * @return The event name.
     */
    private static String eventName(LogData data) {
        return data.getTemplateContext() == null
                ? String.valueOf(data.getLiteralArgument())
                : data.getTemplateContext().getMessage();
    }

    /**
     * Writes a metadata entry as a JSON field.
     *
     * @param generator Writes JSON.
     * @param key The metadata key, whose label is the field name.
     * @param value The value; integers and doubles are written as numbers, anything else as a
     *     string.
     * @throws IOException Never, since the output is a memory buffer.
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
