package lilaclever.scale;

import java.util.Locale;

/** One measured value at one size, as a line of tab-separated values: measure, size, value, unit. */
record Sample(String measure, double size, double value, String unit) {
    static final String HEADER = "measure\tsize\tvalue\tunit";

    static void print(String measure, double size, double value, String unit) {
        System.out.println(new Sample(measure, size, value, unit).line());
    }

    String line() {
        return String.format(Locale.ROOT, "%s\t%.0f\t%.9g\t%s", measure, size, value, unit);
    }

    static Sample parse(String line) {
        String[] fields = line.split("\t");
        return new Sample(fields[0], Double.parseDouble(fields[1]), Double.parseDouble(fields[2]), fields[3]);
    }
}
