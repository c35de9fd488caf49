package io.chicorytrestle.bench.quickstart;

import io.chicorytrestle.core.identity.ChatKey;
import io.chicorytrestle.standin.model.SyntheticAnswer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Drives returning chats, one turn after the other, and checks every answer. */
final class ChatLoad implements Runnable {

    /** The chats that take turns. */
    private static final int CONCURRENT_CHATS = 3;

    /** The turns after which a chat is replaced by a new one. */
    private static final int TURNS_PER_CHAT = 6;

    /** The most tokens to ask for. */
    private static final int MAXIMUM_TOKENS = 64;

    /** The longest pause between turns in milliseconds. */
    private static final int MAXIMUM_PAUSE_MILLIS = 120;

    /** The tries of one turn. */
    private static final int MAXIMUM_ATTEMPTS = 10;

    /** The pause before another try in milliseconds, growing with each. */
    private static final long RETRY_MILLIS = 150;

    /** The most words of a question. */
    private static final int MAXIMUM_QUESTION_WORDS = 60;

    /** The fleet. */
    private final Plan plan;

    /** Calls the fleet. */
    private final FleetClient client;

    /** Counts what happened. */
    private final ChatStatistics statistics;

    /** Names this load. */
    private final int number;

    /** Makes the choices. */
    private final UniformRandomProvider random;

    /** The chats that take turns. */
    private final List<Chat> chats = new ArrayList<>();

    /** The chats that were begun. */
    private int startedChats;

    /** Whether the load goes on. */
    private volatile boolean running = true;

    /**
     * Creates a new load.
     *
     * @param plan The fleet.
     * @param client Calls the fleet.
     * @param tally Counts what happened.
     * @param number Names this load.
     */
    ChatLoad(Plan plan, FleetClient client, ChatStatistics tally, int number) {
        this.plan = plan;
        this.client = client;
        this.statistics = tally;
        this.number = number;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {plan.seed(), number});
    }

    /** Lets the load end after the present turn. */
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
     * Begins a chat.
     *
     * @return The chat.
     */
    private Chat startChat() {
        startedChats++;
        Plan.Workspace workspace = plan.workspaces().get(random.nextInt(plan.workspaces().size()));
        return new Chat(workspace, "chat-" + number + "-" + startedChats);
    }

    /**
     * Takes a turn and tries again until its answer is whole.
     *
     * @param chat The chat.
     * @return {@code false} if no try gave a whole answer.
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
            FleetClient.ChatResponse answer =
                    client.sendTurn(daemon, chat.workspace, chat.name, turn);
            if (answer.complete()) {
                statistics.recordComplete(
                        answer, answer.text().equals(expected), chat.completedTurns > 0);
                chat.addResponse(answer);
                return true;
            }
            if (!expected.startsWith(answer.text())) {
                statistics.recordForeignText(answer.text());
            }
            statistics.recordRetry(daemon.name(), answer);
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS * attempt);
        }
        statistics.recordFailure(chat.workspace.name() + " " + chat.name);
        return false;
    }

    /**
     * Chooses an entry instance, as the platform's balancer does.
     *
     * @return The entry instance.
     */
    private Plan.Daemon randomDaemon() {
        return plan.daemons().get(random.nextInt(plan.daemons().size()));
    }

    /**
     * Makes up a question.
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

    /** A chat between its turns. */
    private static final class Chat {

        /** The workspace. */
        private final Plan.Workspace workspace;

        /** The chat's name. */
        private final String name;

        /** What was said up to now. */
        private final List<String> messages = new ArrayList<>();

        /** The placement token of the last turn, or empty. */
        private String placement = "";

        /** The turns that were answered. */
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
         * Adds an answer.
         *
         * @param answer The answer.
         */
        private void addResponse(FleetClient.ChatResponse answer) {
            messages.add(answer.text());
            placement = answer.placement();
            completedTurns++;
        }
    }
}
