package io.chicorytrestle.core.limit;

import java.util.concurrent.locks.ReentrantLock;

/**
 * Limits retries to a share of the first attempts, so that failures do not multiply the load. Works
 * like a token bucket: each first attempt adds a fraction of a token, and a retry takes a whole
 * one. This class is thread-safe.
 */
public final class RetryBudget {

    /** The default number of tokens that each first attempt adds. */
    public static final double DEFAULT_RATIO = 0.1;

    /** The default maximum balance. */
    public static final double DEFAULT_MAXIMUM_BALANCE = 10;

    /** Guards the balance and its maximum. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The number of tokens that each first attempt adds. */
    private final double ratio;

    /** The maximum balance; guarded by the lock. */
    private double maximumBalance;

    /** The number of retries that may be spent now, possibly fractional; guarded by the lock. */
    private double balance;

    /**
     * Creates a new budget, which starts full.
     *
     * @param ratio The number of tokens that each first attempt adds, from zero to one.
     * @param maximumBalance The maximum number of saved retries, at least one.
     * @throws IllegalArgumentException If a value is out of range.
     */
    public RetryBudget(double ratio, double maximumBalance) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("Retry ratio must be from 0 to 1: " + ratio);
        }
        checkMaximumBalance(maximumBalance);
        this.ratio = ratio;
        this.maximumBalance = maximumBalance;
        balance = maximumBalance;
    }

    /**
     * Creates a new budget with the default ratio and maximum balance.
     *
     * @return A new budget, which starts full.
     */
    public static RetryBudget make() {
        return new RetryBudget(DEFAULT_RATIO, DEFAULT_MAXIMUM_BALANCE);
    }

    /**
     * Checks a maximum balance.
     *
     * @param maximumBalance The maximum number of saved retries.
     * @throws IllegalArgumentException If the value is out of range.
     */
    private static void checkMaximumBalance(double maximumBalance) {
        if (!(maximumBalance >= 1)) {
            throw new IllegalArgumentException(
                    "Maximum retry balance must be at least 1: " + maximumBalance);
        }
    }

    /**
     * Changes the maximum balance. Raising it adds no retries: only first attempts replenish the
     * balance.
     *
     * @param maximumBalance The maximum number of saved retries, at least one.
     * @throws IllegalArgumentException If the value is out of range.
     */
    public void setMaximumBalance(double maximumBalance) {
        checkMaximumBalance(maximumBalance);
        lock.lock();
        try {
            this.maximumBalance = maximumBalance;
            balance = Math.min(balance, maximumBalance);
        } finally {
            lock.unlock();
        }
    }

    /** Records the first attempt of a request, which replenishes the balance by the ratio. */
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
     * @return {@code false} if the budget holds less than a whole retry, which leaves it unchanged.
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
