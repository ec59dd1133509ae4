package lilaclever.placement;

import java.util.Arrays;

/** Sorted set of shard numbers in an array: a member has few, and iteration has to be deterministic. */
final class ShardSet {
    private static final int INITIAL_CAPACITY = 8;
    private int[] shards = new int[INITIAL_CAPACITY];
    private int size;

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** The shard at an index, from 0, in ascending order. */
    int get(int index) {
        return shards[index];
    }

    boolean contains(int shard) {
        return Arrays.binarySearch(shards, 0, size, shard) >= 0;
    }

    void add(int shard) {
        int searchResult = Arrays.binarySearch(shards, 0, size, shard);
        if (searchResult >= 0) {
            return;
        }
        if (size == shards.length) {
            shards = Arrays.copyOf(shards, 2 * size);
        }
        int insertionIndex = -searchResult - 1;
        System.arraycopy(shards, insertionIndex, shards, insertionIndex + 1, size - insertionIndex);
        shards[insertionIndex] = shard;
        size++;
    }

    void remove(int shard) {
        int index = Arrays.binarySearch(shards, 0, size, shard);
        if (index < 0) {
            return;
        }
        System.arraycopy(shards, index + 1, shards, index, size - index - 1);
        size--;
    }

    void clear() {
        size = 0;
    }

    /** Copy in ascending order, for iteration while the set changes. */
    int[] toArray() {
        return Arrays.copyOf(shards, size);
    }
}
