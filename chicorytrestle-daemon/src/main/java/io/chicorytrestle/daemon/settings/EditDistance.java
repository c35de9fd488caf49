package io.chicorytrestle.daemon.settings;

/** Computes the Levenshtein distance of two words. */
final class EditDistance {

    /** Not instantiable. */
    private EditDistance() {}

    /**
     * Returns the minimum number of insertions, deletions and replacements that turn one word into
     * another.
     *
     * @param one The first word.
     * @param other The second word.
     * @return The number of edits.
     */
    static int between(String one, String other) {
        int[] previous = new int[other.length() + 1];
        for (int column = 0; column <= other.length(); column++) {
            previous[column] = column;
        }
        for (int row = 1; row <= one.length(); row++) {
            int[] current = new int[other.length() + 1];
            current[0] = row;
            for (int column = 1; column <= other.length(); column++) {
                int replacementCost = one.charAt(row - 1) == other.charAt(column - 1) ? 0 : 1;
                int insertOrDelete = Math.min(previous[column], current[column - 1]) + 1;
                current[column] = Math.min(insertOrDelete, previous[column - 1] + replacementCost);
            }
            previous = current;
        }
        return previous[other.length()];
    }
}
