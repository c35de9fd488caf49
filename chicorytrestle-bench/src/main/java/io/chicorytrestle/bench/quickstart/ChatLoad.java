package io.chicorytrestle.bench.quickstart;

import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.standin.model.SyntheticAnswer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generates load by running chats turn by turn and checks the text of every response. */
final class ChatLoad implements Runnable {

    /** The number of chats that are interleaved. */
    private static final int CONCURRENT_CHATS = 3;

    /** The number of turns after which a chat is replaced by a new one. */
    private static final int TURNS_PER_CHAT = 6;

    /** The maximum number of tokens to request for each response. */
    private static final int MAXIMUM_TOKENS = 64;

    /** The maximum pause between turns in milliseconds. */
    private static final int MAXIMUM_PAUSE_MILLIS = 120;

    /** The maximum number of attempts of a turn. */
    private static final int MAXIMUM_ATTEMPTS = 10;

    /** The delay before the second attempt in milliseconds; it grows linearly with each attempt. */
    private static final long RETRY_MILLIS = 150;

    /** The maximum number of words of a question, in addition to two. */
    private static final int MAXIMUM_QUESTION_WORDS = 60;

    /** The fleet to call. */
    private final Plan plan;

    /** The HTTP client. */
    private final FleetClient client;

    /** The statistics that all chat loads share. */
    private final ChatStatistics statistics;

    /** The number of this load, which is part of its seed and its chats' names. */
    private final int number;

    /** The random source, derived from the plan's seed. */
    private final UniformRandomProvider random;

    /** The number of chats that are interleaved. */
    private final List<Chat> chats = new ArrayList<>();

    /** The number of chats started so far. */
    private int startedChats;

    /** Whether the load keeps running; cleared by another thread. */
    private volatile boolean running = true;

    /**
     * Creates a new load, which runs on a thread of its own.
     *
     * @param plan The fleet to call.
     * @param client The HTTP client.
     * @param statistics The statistics that all chat loads share.
     * @param number The number of this load.
     */
    ChatLoad(Plan plan, FleetClient client, ChatStatistics statistics, int number) {
        this.plan = plan;
        this.client = client;
        this.statistics = statistics;
        this.number = number;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {plan.seed(), number});
    }

    /** Stops the load after the current turn; called by another thread. */
    void stop() {
        running = false;
    }

    @Override
    public void run() {
        try {
            for (int index = 0; index < CONCURRENT_CHATS; index++) {
                chats.add(startChat());
            }
            while (running) {
                int index = random.nextInt(CONCURRENT_CHATS);
                Chat chat = chats.get(index);
                if (!takeTurn(chat) || chat.completedTurns >= TURNS_PER_CHAT) {
                    chats.set(index, startChat());
                }
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAXIMUM_PAUSE_MILLIS));
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Starts a chat in a random workspace.
     *
     * @return The chat.
     */
    private Chat startChat() {
        startedChats++;
        Plan.Workspace workspace = plan.workspaces().get(random.nextInt(plan.workspaces().size()));
        return new Chat(workspace, "chat-" + number + "-" + startedChats);
    }

    /**
     * Runs a turn and retries it until its response is complete.
     *
     * @param chat The chat.
     * @return {@code false} if no attempt returned a complete response.
     * @throws InterruptedException If the thread is interrupted.
     */
    private boolean takeTurn(Chat chat) throws InterruptedException {
        chat.messages.add(randomQuestion());
        FleetClient.ChatTurn turn =
                new FleetClient.ChatTurn(chat.messages, MAXIMUM_TOKENS, chat.placement);
        String expected =
                SyntheticAnswer.forPrompt(
                                new ChatKey(chat.workspace.name(), chat.name),
                                turn.prompt(),
                                MAXIMUM_TOKENS)
                        .fullText();
        for (int attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
            Plan.Daemon daemon = randomDaemon();
            FleetClient.ChatResponse response =
                    client.sendTurn(daemon, chat.workspace, chat.name, turn);
            if (response.complete()) {
                statistics.recordComplete(
                        response, response.text().equals(expected), chat.completedTurns > 0);
                chat.addResponse(response);
                return true;
            }
            if (!expected.startsWith(response.text())) {
                statistics.recordForeignText(response.text());
            }
            statistics.recordRetry(daemon.name(), response);
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS * attempt);
        }
        statistics.recordFailure(chat.workspace.name() + " " + chat.name);
        return false;
    }

    /**
     * Picks a random entry instance, in place of the platform's load balancer.
     *
     * @return The entry instance.
     */
    private Plan.Daemon randomDaemon() {
        return plan.daemons().get(random.nextInt(plan.daemons().size()));
    }

    /**
     * Generates a question of random words.
     *
     * @return The question.
     */
    private String randomQuestion() {
        StringBuilder question = new StringBuilder();
        int words = 2 + random.nextInt(MAXIMUM_QUESTION_WORDS);
        for (int index = 0; index < words; index++) {
            question.append(Integer.toString(random.nextInt(), Character.MAX_RADIX)).append(' ');
        }
        return question.toString();
    }

    /** The state of a chat between turns. */
    private static final class Chat {

        /** The workspace. */
        private final Plan.Workspace workspace;

        /** The chat's name. */
        private final String name;

        /** The messages so far, alternating between the user and the assistant. */
        private final List<String> messages = new ArrayList<>();

        /** The placement token of the last turn, or empty. */
        private String placement = "";

        /** The number of completed turns. */
        private int completedTurns;

        /**
         * Creates a new chat.
         *
         * @param workspace The workspace.
         * @param name The chat's name.
         */
        private Chat(Plan.Workspace workspace, String name) {
            this.workspace = workspace;
            this.name = name;
        }

        /**
         * Adds the response to the last question.
         *
         * @param response The complete response.
         */
        private void addResponse(FleetClient.ChatResponse response) {
            messages.add(response.text());
            placement = response.placement();
            completedTurns++;
        }
    }
}
