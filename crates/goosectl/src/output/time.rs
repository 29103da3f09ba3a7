//! Times as text, in UTC.

const DAY_MS: u64 = 86_400_000;
/// Days from 0000-03-01, the first day of the years that [`date`] counts, to 1970-01-01.
const DAYS_BEFORE_1970: u64 = 719_468;
/// Days in an era of 400 years, after which the Gregorian calendar repeats.
const DAYS_PER_ERA: u64 = 146_097;

/// Time of day with milliseconds, as in `23:59:59.999`.
pub(crate) fn clock_time(wall_ms: u64) -> String {
    let ms_of_day = wall_ms % DAY_MS;
    let (seconds, ms) = (ms_of_day / 1_000, ms_of_day % 1_000);
    format!("{:02}:{:02}:{:02}.{ms:03}", seconds / 3_600, seconds / 60 % 60, seconds % 60)
}

/// Date and time of day, as in `2024-12-31T23:59:59.999Z`.
pub(crate) fn date_time(wall_ms: u64) -> String {
    let (year, month, day) = date(wall_ms / DAY_MS);
    format!("{year:04}-{month:02}-{day:02}T{}Z", clock_time(wall_ms))
}

/// Year, month and day of the Gregorian calendar. The calculation starts each year on 1 March, so
/// that a leap day is the last day of its year.
fn date(days_since_1970: u64) -> (u64, u64, u64) {
    let days = days_since_1970 + DAYS_BEFORE_1970;
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let days_without_leap =
        day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096;
    let year = days_without_leap / 365;
    let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    (era * 400 + year + u64::from(month <= 2), month, day)
}
