package io.chicorytrestle.core.limit;

import java.util.concurrent.locks.ReentrantLock;

/**
 * Limits retries to a share of the first attempts, so that failures do not multiply the load. Each
 * first attempt earns a fraction of a retry; a retry spends a whole one. Several threads may call
 * it.
 */
public final class RetryBudget {

    /** The retries that each first attempt earns by default. */
    public static final double DEFAULT_RATIO = 0.1;

    /** The most retries that are saved up by default. */
    public static final double DEFAULT_MAXIMUM_BALANCE = 10;

    /** Guards the balance. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The retries that each first attempt earns. */
    private final double ratio;

    /** The most retries that are saved up. */
    private double maximumBalance;

    /** The retries that may be spent now. */
    private double balance;

    /**
     * Creates a new budget, which starts full.
     *
     * @param ratio The retries that each first attempt earns, from zero to one.
     * @param savedRetries The most retries that are saved up, at least one.
     * @throws IllegalArgumentException If a value is out of range.
     */
    public RetryBudget(double ratio, double savedRetries) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("Cannot use retry ratio: " + ratio);
        }
        checkMaximumBalance(savedRetries);
        this.ratio = ratio;
        this.maximumBalance = savedRetries;
        balance = savedRetries;
    }

    /**
     * Creates a new budget of the default size.
     *
     * @return A new budget, which starts full.
     */
    public static RetryBudget make() {
        return new RetryBudget(DEFAULT_RATIO, DEFAULT_MAXIMUM_BALANCE);
    }

    /**
     * Checks how many retries are saved up.
     *
     * @param savedRetries The most retries that are saved up.
     * @throws IllegalArgumentException If the value is out of range.
     */
    private static void checkMaximumBalance(double savedRetries) {
        if (!(savedRetries >= 1)) {
            throw new IllegalArgumentException("Cannot save up retries: " + savedRetries);
        }
    }

    /**
     * Changes how many retries are saved up. A larger number is reached by first attempts only.
     *
     * @param savedRetries The most retries that are saved up, at least one.
     * @throws IllegalArgumentException If the value is out of range.
     */
    public void setMaximumBalance(double savedRetries) {
        checkMaximumBalance(savedRetries);
        lock.lock();
        try {
            this.maximumBalance = savedRetries;
            balance = Math.min(balance, savedRetries);
        } finally {
            lock.unlock();
        }
    }

    /** Takes note of a first attempt. */
    public void onFirstAttempt() {
        lock.lock();
        try {
            balance = Math.min(maximumBalance, balance + ratio);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Spends one retry.
     *
     * @return {@code true} if the budget held a whole retry, which is then spent.
     */
    public boolean trySpend() {
        lock.lock();
        try {
            if (balance < 1) {
                return false;
            }
            balance--;
            return true;
        } finally {
            lock.unlock();
        }
    }
}
