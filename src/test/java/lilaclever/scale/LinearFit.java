package lilaclever.scale;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line through measured values by least squares: what one more of the size costs, and how far from a line
 * the values are.
 *
 * @param perUnit how much the value grows with each unit of the size
 * @param intercept the line's value at size 0
 * @param rSquared share of the values' variance that the line explains, 0 to 1
 * @param rmsResidual root of the mean square of what is left, in the value's unit
 * @param maxRelativeResidual the largest distance from the line, as part of the largest value
 */
record LinearFit(double perUnit, double intercept, double rSquared, double rmsResidual, double maxRelativeResidual) {
    /** A point of the measurement. */
    record Point(double size, double value) {}

    private static final int MIN_SIZES = 2;

    /** The line through the points, which must be at two different sizes or more. */
    static LinearFit fit(List<Point> points) {
        if (points.stream().mapToDouble(Point::size).distinct().count() < MIN_SIZES) {
            throw new IllegalArgumentException("a line needs two sizes");
        }
        SimpleRegression line = new SimpleRegression();
        points.forEach(point -> line.addData(point.size(), point.value()));
        double maxResidual = points.stream()
                .mapToDouble(point -> Math.abs(point.value() - line.predict(point.size())))
                .max()
                .orElse(0);
        double largest = points.stream()
                .mapToDouble(point -> Math.abs(point.value()))
                .max()
                .orElse(0);
        return new LinearFit(
                line.getSlope(),
                line.getIntercept(),
                line.getRSquare(),
                Math.sqrt(line.getSumSquaredErrors() / points.size()),
                largest == 0 ? 0 : maxResidual / largest);
    }

    /** The line's value at a size. */
    double valueAt(double size) {
        return intercept + perUnit * size;
    }
}
