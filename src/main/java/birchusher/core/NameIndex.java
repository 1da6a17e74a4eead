package birchusher.core;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Maps names to dense indices, counted from 0 in the order of their addition, so that the rest of the code compares
 * and indexes integers. Not thread-safe.
 */
public final class NameIndex {
    /** The index of an unknown name. */
    public static final int NONE = -1;

    private final Object2IntOpenHashMap<String> indexByName = new Object2IntOpenHashMap<>();
    private final List<String> names = new ArrayList<>();

    /** Creates an empty index. */
    public NameIndex() {
        indexByName.defaultReturnValue(NONE);
    }

    /** Creates an index of these names, in their order. */
    public NameIndex(Collection<String> initialNames) {
        this();
        initialNames.forEach(this::add);
    }

    /** Returns the index of a name, which is added if it is unknown. */
    public int add(String name) {
        int index = indexByName.getInt(name);
        if (index == NONE) {
            index = names.size();
            indexByName.put(name, index);
            names.add(name);
        }
        return index;
    }

    /** Returns the index of a name, or {@link #NONE} if it is unknown or null. */
    public int find(String name) {
        return name == null ? NONE : indexByName.getInt(name);
    }

    /** Returns the name with an index. */
    public String name(int index) {
        return names.get(index);
    }

    /** Returns the number of names; all indices are below it. */
    public int size() {
        return names.size();
    }
}
